-- L1: the open connections to all workers, then those to control, are blocked for good while new
-- ones work. Requests must still be answered within their deadline.
start_system{entries = 1, workers = 3, routes = basic_routes}
for _ = 1, 30 do http_request(caller_port(1), "GET", "/price") end
for round = 1, 3 do
    for n = 1, 3 do set_link_mode("worker-" .. n, "forget") end
    for _ = 1, 20 do
        local status = http_request(caller_port(1), "GET", "/price")
        expect(status == 200, "L1", "GET /price got " .. tostring(status))
    end
    local code = http_request(caller_port(1), "POST", "/order",
        {["Idempotency-Key"] = "s" .. round}, "x")
    expect(code == 200 or code == 504, "P6", "an order got " .. tostring(code))
    sleep(1300)
    for n = 1, 3 do set_link_mode("worker-" .. n, "forget") end
    code = http_request(caller_port(1), "POST", "/order", {["Idempotency-Key"] = "t" .. round}, "x")
    expect(code == 200, "L1", "an order on a new connection got " .. tostring(code))
end
for m = 1, 3 do set_link_mode("entry-1>control-" .. m, "forget") end
sleep(2500)
local status = http_request(caller_port(1), "GET", "/price")
expect(status == 200, "L1", "GET /price failed after the connections to control were blocked")
check_invariants()
print_line("answered over fresh connections")
