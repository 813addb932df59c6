-- P5, P6, L1: workers that truncate their responses, do not respond, refuse everything or are
-- killed. Idempotent requests must get a complete response from another worker, an order that may
-- have been executed must not get the outcome not-run, and refusals must not be delayed until the
-- deadline.
start_system{entries = 1, workers = 4, routes = basic_routes}
configure_worker(1, '{"cut_answers":true}')
configure_worker(2, '{"silent":true}')
kill_worker(3)
start_load("prices", {"--target", caller_port(1), "--path", "/price", "--rate", 100,
    "--seconds", 5, "--body-bytes", 2000})
local result = load_result("prices")
expect(result.wrong == 0, "P5", "a response was wrong or truncated")
expect(result.answered > 0.93 * 500, "L1", "too few requests answered: " .. result.answered)
configure_worker(4, '{"cut_answers":true}')
local unknown = 0
for n = 1, 12 do
    local status, _, headers = http_request(caller_port(1), "POST", "/order",
        {["Idempotency-Key"] = "c" .. n}, "x", 3000)
    local ran = count_events(all_ledgers(), "request run", "", 0, now())
    if status and headers["Mango-Outcome"] == "not-run" then
        local text = read_file(ledgers[1]) .. read_file(ledgers[4])
        expect(not text:match('"subject":"c' .. n .. '"'), "P6",
            "outcome not-run for an executed order")
    elseif status == 504 then
        unknown = unknown + 1
    end
end
expect(unknown > 0, "P6", "no order had an unknown outcome, though responses were truncated")
for n = 1, 4 do
    if n ~= 3 then configure_worker(n, '{"cut_answers":false,"refuse_all":true}') end
end
local before = now()
local status, _, headers = http_request(caller_port(1), "GET", "/price",
    {["Mango-Deadline-Ms"] = "900"})
expect(status == 503 and headers["Mango-Outcome"] == "not-run", "P6",
    "a refusal got " .. tostring(status))
expect(headers["Retry-After"], "P6", "a refusal without Retry-After")
expect(now() - before < 700000, "P6", "the refusal took longer than 700 ms")
check_invariants()
print_line("whole answers, true refusals")
