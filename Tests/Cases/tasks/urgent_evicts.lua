-- P3, L6: the pool is full of batch work; urgent tasks start within 1.9 s, what was evicted resumes
-- exactly once for each eviction, also when the leader is killed in between.
system{workers = 3, routes = basic_routes .. [[
[urgent]
path = /urgent
method = POST
kind = batch
pool = desk
urgency = urgent
[low]
path = /low
method = POST
kind = batch
pool = desk
urgency = low
]], pools = "[desk]\nworkers = w*\nreserved_slots = 2\n", timing = "task_lease = 3s\n",
    worker = {"--checkpoint-time-ms", "200"}}
local low = submit(1, "/low", '{"tasks":18,"run_time_ms":9000}')
await(8000, "L2", "the pool did not fill", function()
    return starts(all_ledgers(), "task start", "", 0, now()) == 18
end)
sleep(500)
local begin = now()
local urgent = submit(1, "/urgent", '{"tasks":1,"run_time_ms":500}')
await(3000, "L6", "the urgent task did not start", function()
    return read_file(ledgers[1]):match('start","subject":"' .. urgent .. '/0')
        or read_file(ledgers[2]):match('start","subject":"' .. urgent .. '/0')
        or read_file(ledgers[3]):match('start","subject":"' .. urgent .. '/0')
end)
expect(now() - begin < 1900000, "L6", "it took " .. (now() - begin) / 1000 .. " ms")
local second = submit(2, "/urgent", '{"tasks":2,"run_time_ms":500}')
sleep(150)
local old = leader()
signal("control-" .. old, "KILL")
wait("control-" .. old, 1000)
start_control(old)
await_job(urgent, "finished", 20000)
await_job(second, "finished", 20000)
await_job(low, "finished", 60000)
local evictions = 0
for count in job_text(low):gmatch('"evictions":(%d+)') do evictions = evictions + tonumber(count) end
local resumes = starts(all_ledgers(), "task resume", "", 0, now())
expect(evictions >= 1, "P3", "nothing was evicted")
expect(resumes == evictions, "P3", evictions .. " evictions but " .. resumes .. " resumes")
check_invariants()
say("urgent work started in time and every eviction resumed once")
