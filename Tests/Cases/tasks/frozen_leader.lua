-- P2: the leader is frozen past its lease with tasks running and starts on their way, another
-- takes over, then the old one goes on. No task runs twice at once.
system{workers = 6, routes = basic_routes, timing = "task_lease = 3s\n"}
local jobs = {}
for n = 1, 4 do jobs[n] = submit(1, "/batch", '{"tasks":6,"run_time_ms":1500}') end
for _ = 1, 2 do
    local old = leader()
    signal("control-" .. old, "STOP")
    sleep(4500)
    signal("control-" .. old, "CONT")
    sleep(1000)
end
for n = 1, 4 do await_job(jobs[n], "finished", 40000) end
check_invariants()
say("24 tasks finished, none in two places")
