-- P2: the leader is stopped for longer than its lease, with tasks running and start requests on
-- their way. Another one takes over, then the old one continues. No task may run twice at the same
-- time.
start_system{workers = 6, routes = basic_routes, timing = "task_lease = 3s\n"}
local jobs = {}
for n = 1, 4 do jobs[n] = submit_job(1, "/batch", '{"tasks":6,"run_time_ms":1500}') end
for _ = 1, 2 do
    local old_leader = leader()
    send_signal("control-" .. old_leader, "STOP")
    sleep(4500)
    send_signal("control-" .. old_leader, "CONT")
    sleep(1000)
end
for n = 1, 4 do wait_for_job(jobs[n], "finished", 40000) end
check_invariants()
print_line("24 tasks finished, none in two places")
