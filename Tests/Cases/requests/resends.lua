-- P7: resends of orders race each other while leaders are killed, and reach another entry after the
-- first was killed. They must get the first response, and no key may be executed twice.
start_system{entries = 2, workers = 4, routes = basic_routes, worker = {"--service-ms", "150"}}
-- The timeout is shorter than the service time of the workers, so that every order is sent again.
start_load("orders", {"--target", caller_port(1) .. "," .. caller_port(2), "--path", "/order",
    "--method", "POST", "--keyed", "--body-bytes", 20, "--rate", 40, "--seconds", 8,
    "--timeout-ms", 100})
sleep(1000)
for _ = 1, 2 do
    local n = leader()
    send_signal("control-" .. n, "KILL")
    wait_for_exit("control-" .. n, 1000)
    sleep(2000)
    start_control(n)
end
local result = load_result("orders")
expect(result.wrong == 0, "P5", "a response was wrong")
expect(result.answered > 0.8 * 320, "P7", "too few orders answered: " .. result.answered)
-- An entry is killed while its order is executed: the resend must get the worker's response.
configure_worker(1, '{"service_ms":1200}') configure_worker(2, '{"service_ms":1200}')
configure_worker(3, '{"service_ms":1200}') configure_worker(4, '{"service_ms":1200}')
start_load("one", {"--target", caller_port(1), "--path", "/order", "--method", "POST", "--keyed",
    "--callers", 1, "--seconds", 0.1, "--timeout-ms", 400})
sleep(300)
send_signal("entry-1", "KILL")
wait_for_exit("entry-1", 1000)
check_invariants()
local headers = {["Idempotency-Key"] = "k-1"}
local first = now()
local status = http_request(caller_port(2), "POST", "/order", headers, "x", 300)
expect(status == nil, "P7", "the order was answered before the worker had finished")
local response = wait_until(8000, "P7", "the resend was not answered", function()
    local code, text, response_headers = http_request(caller_port(2), "POST", "/order", headers,
        "x", 3000)
    return code == 200 and {text, response_headers}
end)
expect(response[1]:match('"runs":1'), "P7", "the order was executed again")
local code = http_request(caller_port(2), "POST", "/order", headers, "another body", 3000)
expect(code == 422, "P7", "a key was accepted for another request")
check_invariants()
print_line("every key ran at most once")
