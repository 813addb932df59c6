-- P1: three entries offer more requests than the workers can hold, beside batch tasks on the same
-- slots. One entry is killed and one loses its links to control with requests in flight, the leader
-- is killed, and one entry is stopped for 3 s. No worker may ever hold more than it announced.
start_system{entries = 3, workers = 3, routes = basic_routes, worker = {"--service-ms", "120"}}
start_load("prices", {
    "--target", table.concat({caller_port(1), caller_port(2), caller_port(3)}, ","),
    "--path", "/price", "--rate", 400, "--seconds", 16})
submit_job(2, "/batch", '{"tasks":8,"run_time_ms":4000}')
sleep(2000)
send_signal("entry-1", "KILL")
wait_for_exit("entry-1", 1000)
sleep(1500)
start_entry(1)
sleep(1500)
for n = 1, 3 do set_link_mode("entry-2>control-" .. n, "silent") end
sleep(3000)
for n = 1, 3 do set_link_mode("entry-2>control-" .. n, "pass") end
sleep(500)
local n = leader()
send_signal("control-" .. n, "KILL")
wait_for_exit("control-" .. n, 1000)
sleep(2500)
start_control(n)
send_signal("entry-3", "STOP")
sleep(3000)
send_signal("entry-3", "CONT")
local result = load_result("prices")
expect(result.answered > 1000, "L1", "too few requests answered: " .. result.answered)
check_invariants()
print_line("no worker held more than it announced")
