-- L3, L4, L5: jobs that can never run must be refused at once, a worker on which every task fails
-- must be quarantined, and no task of a cancelled job may start.
start_system{workers = 4, routes = basic_routes .. [[
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
]], pools = "[desk]\nworkers = w*\nquotas = poor:0\nweighting = batch\n",
    timing = "task_lease = 3s\n"}
local function expect_refused(path, body, reason)
    local status, text = http_request(caller_port(1), "POST", path, {}, body)
    expect(status == 422 and text:match(reason), "L3", path .. " got " .. tostring(text))
end
expect_refused("/batch", '{"cores":33}', "cores")
expect_refused("/batch", '{"memory_bytes":999999999999999}', "memory")
expect_refused("/nowhere", "{}", "no pool")
expect_refused("/poor", "{}", "quota")
configure_worker(1, '{"fail_tasks":true}')
local jobs = {}
for n = 1, 6 do jobs[n] = submit_job(1, "/batch", '{"tasks":4,"run_time_ms":600}') end
for n = 1, 6 do wait_for_job(jobs[n], "finished", 30000) end
local failures = count_events({ledgers[1]}, "task start", "w1", 0, now())
expect(failures < 14, "L4", "the failing worker got " .. failures .. " tasks")
expect(admin_result("GET", "/v1/workers"):match('"worker":"w1".-"quarantined":true'), "L4",
    "the failing worker is not quarantined")
configure_worker(1, '{"fail_tasks":false}')
local cancelled_jobs = {}
for n = 1, 20 do
    cancelled_jobs[n] = submit_job(n % 2 + 1, "/batch", '{"tasks":5,"run_time_ms":20000}')
end
for n = 1, 20 do
    wait_until(5000, "L5", "a cancellation was not accepted", function()
        return http_request(caller_port(n % 2 + 1), "DELETE",
            "/mango/v1/jobs/" .. cancelled_jobs[n]) == 202
    end)
end
for n = 1, 20 do wait_for_job(cancelled_jobs[n], "cancelled", 10000) end
local stopped = now()
sleep(1000)
expect(count_events(all_ledgers(), "task start", "", stopped, now()) == 0, "L5",
    "a task of a cancelled job started")
check_invariants()
print_line("refused, quarantined and cancelled as due")
