-- P4, P3: a domain goes out and in, with the leader lost right after a change; no task starts in it
-- from 3 s after acceptance on, its tasks resume elsewhere.
system{workers = 6, routes = basic_routes, timing = "task_lease = 3s\n",
    worker = {"--checkpoint-ms", "500"}}
local job = submit(1, "/batch", '{"tasks":12,"run_time_ms":4000}')
await(6000, "L2", "the tasks did not start", function()
    return starts(all_ledgers(), "task start", "", 0, now()) == 12
end)
set_domain("d1", false)
set_domain("d1", true)
local accepted = set_domain("d1", false)
local old = leader()
signal("control-" .. old, "KILL")
wait("control-" .. old, 1000)
local more = submit(2, "/batch", '{"tasks":6,"run_time_ms":1000}')
start_control(old)
await_job(job, "finished", 40000)
await_job(more, "finished", 40000)
for _, w in ipairs{"w1", "w4"} do
    expect(starts(all_ledgers(), "task", w, accepted + 3000000, now())
        == starts(all_ledgers(), "task end", w, accepted + 3000000, now()), "P4",
        "a task started in the domain")
end
set_domain("d1", true)
await_workers(6)
check_invariants()
say("no start in the domain, everything finished")
