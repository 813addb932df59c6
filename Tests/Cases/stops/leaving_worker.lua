-- P8: a worker announces that it leaves to one entry, which is then killed. From 3 s after the
-- worker was told that this was accepted it must get no requests. Another worker is stopped without
-- notice and must be taken out of service.
start_system{entries = 2, workers = 4, routes = basic_routes}
start_load("prices", {"--target", caller_port(2), "--path", "/price", "--rate", 150,
    "--seconds", 11})
sleep(800)
configure_worker(1, '{"leaving":true}')
wait_until(3000, "P8", "the leave was not acknowledged", function()
    return read_file(ledgers[1]):match("leaving told")
end)
local told = now()
send_signal("entry-1", "KILL")
wait_for_exit("entry-1", 1000)
sleep(3000)
local from = now()
send_signal("w2", "STOP")
sleep(4000)
expect(count_events({ledgers[1]}, "request run", "w1", from, now()) == 0, "P8",
    "a leaving worker got a request")
expect(admin_result("GET", "/v1/workers"):match('"worker":"w2".-"serving":false'), "P8",
    "a stopped worker still serves")
send_signal("w2", "CONT")
local result = load_result("prices")
expect(result.answered > 0.97 * 1650, "L1", "too few requests answered: " .. result.answered)
check_invariants()
print_line("nothing new for workers that left")
