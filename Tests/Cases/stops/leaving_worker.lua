-- P8: a worker announces that it leaves, to one entry that then dies; it gets nothing new 3 s after
-- it was told that this was taken. Another vanishes without a word.
system{entries = 2, workers = 4, routes = basic_routes}
start_load("prices", {"--target", caller_port(2), "--path", "/price", "--rate", 150,
    "--seconds", 11})
sleep(800)
behave(1, '{"leaving":true}')
await(3000, "P8", "the leave was not taken", function()
    return read_file(ledgers[1]):match("leaving told")
end)
local told = now()
signal("entry-1", "KILL")
wait("entry-1", 1000)
sleep(3000)
local from = now()
signal("w2", "STOP")
sleep(4000)
expect(starts({ledgers[1]}, "request run", "w1", from, now()) == 0, "P8",
    "a leaving worker got a request")
expect(admin_ok("GET", "/v1/workers"):match('"worker":"w2".-"serving":false'), "P8",
    "a vanished worker still serves")
signal("w2", "CONT")
local result = load_result("prices")
expect(result.answered > 0.97 * 1650, "L1", "answered " .. result.answered)
check_invariants()
say("nothing new for workers that left")
