-- P7, P5: the entry is killed after it has sent an order to a worker. A resend through the other
-- entry must get the worker's response, and the order must not be executed again.
start_system{entries = 2, workers = 3, routes = basic_routes, worker = {"--service-ms", "500"}}
local headers = {["Idempotency-Key"] = "order-7", ["X-Nonce"] = "n7"}
local status = http_request(caller_port(1), "POST", "/order", headers, "forty boxes", 200)
expect(status == nil, "P7", "the order was answered before the worker had finished")
send_signal("entry-1", "KILL")
wait_for_exit("entry-1", 1000)
local first_status, text, first_headers = http_request(caller_port(2), "POST", "/order", headers,
    "forty boxes", 2000)
expect(first_status == 409 or first_status == 200, "P7",
    "the resend got " .. tostring(first_status))
expect(first_status ~= 409 or first_headers["Mango-Outcome"] == "unknown", "P6",
    "the outcome is not unknown")
local response = wait_until(5000, "P7", "the resend was not answered", function()
    local code, body = http_request(caller_port(2), "POST", "/order", headers, "forty boxes", 2000)
    return code == 200 and body
end)
expect(response:match('"echo":"forty boxes"') and response:match('"runs":1'), "P5", response)
local code, again, replay_headers = http_request(caller_port(2), "POST", "/order", headers,
    "forty boxes", 2000)
expect(code == 200 and again == response and replay_headers["Mango-Replayed"] == "yes", "P7",
    "the stored response differs")
check_invariants()
print_line("the order ran once and its answer outlived the entry")
