-- P1: two entries push more than the workers hold; an entry dies and one is cut off with requests
-- in flight, the leader is killed, batch work shares the slots. No worker ever holds too much.
system{entries = 3, workers = 3, routes = basic_routes, worker = {"--service-ms", "120"}}
start_load("prices", {"--target", table.concat({caller_port(1), caller_port(2), caller_port(3)}, ","),
    "--path", "/price", "--rate", 400, "--seconds", 16})
submit(2, "/batch", '{"tasks":8,"run_time_ms":4000}')
sleep(2000)
signal("entry-1", "KILL")
wait("entry-1", 1000)
sleep(1500)
start_entry(1)
sleep(1500)
for n = 1, 3 do link("entry-2>control-" .. n, "silent") end
sleep(3000)
for n = 1, 3 do link("entry-2>control-" .. n, "pass") end
sleep(500)
local n = leader()
signal("control-" .. n, "KILL")
wait("control-" .. n, 1000)
sleep(2500)
start_control(n)
signal("entry-3", "STOP")
sleep(3000)
signal("entry-3", "CONT")
local result = load_result("prices")
expect(result.answered > 1000, "L1", "too few answered: " .. result.answered)
check_invariants()
say("no worker held more than it announced")
