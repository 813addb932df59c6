-- P2, P3: the link to a worker is blocked while its tasks go on running. They may start elsewhere
-- only after its lease has expired, from their last checkpoint, and its late reports must change
-- nothing.
start_system{workers = 3, routes = basic_routes, timing = "task_lease = 3s\n",
    worker = {"--checkpoint-ms", "500"}}
local job = submit_job(1, "/batch", '{"tasks":6,"run_time_ms":6000}')
wait_until(5000, "L2", "the tasks did not start", function()
    return count_events(all_ledgers(), "task start", "", 0, now()) == 6
end)
sleep(1200)
set_link_mode("worker-1", "silent")
sleep(7000)
set_link_mode("worker-1", "pass")
wait_for_job(job, "finished", 40000)
local text = job_status(job)
expect(count_events(all_ledgers(), "task resume", "", 0, now()) == 2, "P3",
    "the two lost tasks did not resume from their checkpoints: " .. text)
check_invariants()
print_line("lost tasks resumed once, after the lease")
