-- P7: resends race each other and reach another entry after the first was killed; the answer is the
-- first one, and no key runs twice. Control leaders die between claim and dispatch.
system{entries = 2, workers = 4, routes = basic_routes, worker = {"--service-ms", "150"}}
-- The caller gives up before the worker answers, so that every order is sent again.
start_load("orders", {"--target", caller_port(1) .. "," .. caller_port(2), "--path", "/order",
    "--method", "POST", "--keyed", "--body-bytes", 20, "--rate", 40, "--seconds", 8,
    "--timeout-ms", 100})
sleep(1000)
for _ = 1, 2 do
    local n = leader()
    signal("control-" .. n, "KILL")
    wait("control-" .. n, 1000)
    sleep(2000)
    start_control(n)
end
local result = load_result("orders")
expect(result.wrong == 0, "P5", "a wrong answer")
expect(result.answered > 0.8 * 320, "P7", "few orders answered: " .. result.answered)
-- An entry dies while its order runs: the resend gets the worker's answer.
behave(1, '{"service_ms":1200}') behave(2, '{"service_ms":1200}')
behave(3, '{"service_ms":1200}') behave(4, '{"service_ms":1200}')
start_load("one", {"--target", caller_port(1), "--path", "/order", "--method", "POST", "--keyed",
    "--callers", 1, "--seconds", 0.1, "--timeout-ms", 400})
sleep(300)
signal("entry-1", "KILL")
wait("entry-1", 1000)
check_invariants()
local headers = {["Idempotency-Key"] = "k-1"}
local first = now()
local status = http(caller_port(2), "POST", "/order", headers, "x", 300)
expect(status == nil, "P7", "the slow order was answered early")
local got = await(8000, "P7", "no answer for the resend", function()
    local code, text, heads = http(caller_port(2), "POST", "/order", headers, "x", 3000)
    return code == 200 and {text, heads}
end)
expect(got[1]:match('"runs":1'), "P7", "the order ran again")
local code = http(caller_port(2), "POST", "/order", headers, "another body", 3000)
expect(code == 422, "P7", "a key was reused for another request")
check_invariants()
say("every key ran at most once")
