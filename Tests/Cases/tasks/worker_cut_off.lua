-- P2, P3: a worker is cut off but its tasks go on running; they start elsewhere only after its
-- lease has ended, from their last checkpoint, and its late word changes nothing.
system{workers = 3, routes = basic_routes, timing = "task_lease = 3s\n",
    worker = {"--checkpoint-ms", "500"}}
local job = submit(1, "/batch", '{"tasks":6,"run_time_ms":6000}')
await(5000, "L2", "the tasks did not start", function()
    return starts(all_ledgers(), "task start", "", 0, now()) == 6
end)
sleep(1200)
link("worker-1", "silent")
sleep(7000)
link("worker-1", "pass")
await_job(job, "finished", 40000)
local text = job_text(job)
expect(starts(all_ledgers(), "task resume", "", 0, now()) == 2, "P3",
    "the two lost tasks did not resume from their checkpoints: " .. text)
check_invariants()
say("lost tasks resumed once, after the lease")
