-- P5, P6, L1: answers cut short, a silent worker, refusing workers and a dead one; idempotent
-- requests are answered whole by another worker, orders are never said to be not run when they may
-- have run, and refusals come at once.
system{entries = 1, workers = 4, routes = basic_routes}
behave(1, '{"cut_answers":true}')
behave(2, '{"silent":true}')
kill_worker(3)
start_load("prices", {"--target", caller_port(1), "--path", "/price", "--rate", 100,
    "--seconds", 5, "--body-bytes", 2000})
local result = load_result("prices")
expect(result.wrong == 0, "P5", "a wrong or short answer")
expect(result.answered > 0.93 * 500, "L1", "few answered: " .. result.answered)
behave(4, '{"cut_answers":true}')
local unknown = 0
for n = 1, 12 do
    local status, _, headers = http(caller_port(1), "POST", "/order",
        {["Idempotency-Key"] = "c" .. n}, "x", 3000)
    local ran = starts(all_ledgers(), "request run", "", 0, now())
    if status and headers["Mango-Outcome"] == "not-run" then
        local text = read_file(ledgers[1]) .. read_file(ledgers[4])
        expect(not text:match('"subject":"c' .. n .. '"'), "P6", "a false 'not run'")
    elseif status == 504 then
        unknown = unknown + 1
    end
end
expect(unknown > 0, "P6", "no order had an unknown outcome, though answers were cut")
for n = 1, 4 do if n ~= 3 then behave(n, '{"cut_answers":false,"refuse_all":true}') end end
local before = now()
local status, _, headers = http(caller_port(1), "GET", "/price", {["Mango-Deadline-Ms"] = "900"})
expect(status == 503 and headers["Mango-Outcome"] == "not-run", "P6", "got " .. tostring(status))
expect(headers["Retry-After"], "P6", "no time to come back")
expect(now() - before < 700000, "P6", "the refusal was held back")
check_invariants()
say("whole answers, true refusals")
