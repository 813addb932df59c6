-- L3, L4, L5: jobs that can never run are told so at once; a worker that fails everything gets no
-- more tasks; cancellations are final; a lost checkpoint falls back to an older one.
system{workers = 4, routes = basic_routes .. [[
[nowhere]
path = /nowhere
method = POST
kind = batch
pool = none
[poor]
path = /poor
method = POST
kind = batch
pool = desk
team = poor
]], pools = "[desk]\nworkers = w*\nquotas = poor:0\nweighting = batch\n", timing = "task_lease = 3s\n"}
local function refused(path, body, why)
    local status, text = http(caller_port(1), "POST", path, {}, body)
    expect(status == 422 and text:match(why), "L3", path .. " got " .. tostring(text))
end
refused("/batch", '{"cores":33}', "cores")
refused("/batch", '{"memory_bytes":999999999999999}', "memory")
refused("/nowhere", "{}", "no pool")
refused("/poor", "{}", "quota")
behave(1, '{"fail_tasks":true}')
local jobs = {}
for n = 1, 6 do jobs[n] = submit(1, "/batch", '{"tasks":4,"run_time_ms":600}') end
for n = 1, 6 do await_job(jobs[n], "finished", 30000) end
local failures = starts({ledgers[1]}, "task start", "w1", 0, now())
expect(failures < 14, "L4", "the failing worker got " .. failures .. " tasks")
expect(admin_ok("GET", "/v1/workers"):match('"worker":"w1".-"quarantined":true'), "L4",
    "the failing worker is not quarantined")
behave(1, '{"fail_tasks":false}')
local wave = {}
for n = 1, 20 do wave[n] = submit(n % 2 + 1, "/batch", '{"tasks":5,"run_time_ms":20000}') end
for n = 1, 20 do
    await(5000, "L5", "a cancellation was not taken", function()
        return http(caller_port(n % 2 + 1), "DELETE", "/mango/v1/jobs/" .. wave[n]) == 202
    end)
end
for n = 1, 20 do await_job(wave[n], "cancelled", 10000) end
local stopped = now()
sleep(1000)
expect(starts(all_ledgers(), "task start", "", stopped, now()) == 0, "L5",
    "a cancelled task started")
check_invariants()
say("refused, quarantined and cancelled as due")
