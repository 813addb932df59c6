-- P4, P3: a failure domain is taken out of service, back and out again, and the leader is killed
-- right after the last change. From 3 s after that change was accepted no task may start in the
-- domain, and its tasks must resume elsewhere.
start_system{workers = 6, routes = basic_routes, timing = "task_lease = 3s\n",
    worker = {"--checkpoint-ms", "500"}}
local job = submit_job(1, "/batch", '{"tasks":12,"run_time_ms":4000}')
wait_until(6000, "L2", "the tasks did not start", function()
    return count_events(all_ledgers(), "task start", "", 0, now()) == 12
end)
set_domain_in_service("d1", false)
set_domain_in_service("d1", true)
local accepted = set_domain_in_service("d1", false)
local old_leader = leader()
send_signal("control-" .. old_leader, "KILL")
wait_for_exit("control-" .. old_leader, 1000)
local second_job = submit_job(2, "/batch", '{"tasks":6,"run_time_ms":1000}')
start_control(old_leader)
wait_for_job(job, "finished", 40000)
wait_for_job(second_job, "finished", 40000)
for _, w in ipairs{"w1", "w4"} do
    expect(count_events(all_ledgers(), "task", w, accepted + 3000000, now())
        == count_events(all_ledgers(), "task end", w, accepted + 3000000, now()), "P4",
        "a task started in the domain")
end
set_domain_in_service("d1", true)
wait_for_workers(6)
check_invariants()
print_line("no start in the domain, everything finished")
