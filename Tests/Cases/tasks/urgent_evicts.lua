-- P3, L6: a pool is full of batch tasks of the lowest class. Urgent tasks must start within 1.9 s,
-- and each evicted task must resume exactly once for each eviction, also when the leader is killed
-- in between.
start_system{workers = 3, routes = basic_routes .. [[
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
local low = submit_job(1, "/low", '{"tasks":18,"run_time_ms":9000}')
wait_until(8000, "L2", "the pool did not fill", function()
    return count_events(all_ledgers(), "task start", "", 0, now()) == 18
end)
sleep(500)
local submitted = now()
local urgent = submit_job(1, "/urgent", '{"tasks":1,"run_time_ms":500}')
wait_until(3000, "L6", "the urgent task did not start", function()
    return read_file(ledgers[1]):match('start","subject":"' .. urgent .. '/0')
        or read_file(ledgers[2]):match('start","subject":"' .. urgent .. '/0')
        or read_file(ledgers[3]):match('start","subject":"' .. urgent .. '/0')
end)
expect(now() - submitted < 1900000, "L6",
    "the urgent task started after " .. (now() - submitted) / 1000 .. " ms")
local second = submit_job(2, "/urgent", '{"tasks":2,"run_time_ms":500}')
sleep(150)
local old_leader = leader()
send_signal("control-" .. old_leader, "KILL")
wait_for_exit("control-" .. old_leader, 1000)
start_control(old_leader)
wait_for_job(urgent, "finished", 20000)
wait_for_job(second, "finished", 20000)
wait_for_job(low, "finished", 60000)
local evictions = 0
for count in job_status(low):gmatch('"evictions":(%d+)') do
    evictions = evictions + tonumber(count)
end
local resumes = count_events(all_ledgers(), "task resume", "", 0, now())
expect(evictions >= 1, "P3", "nothing was evicted")
expect(resumes == evictions, "P3", evictions .. " evictions but " .. resumes .. " resumes")
check_invariants()
print_line("urgent work started in time and every eviction resumed once")
