-- L1: open connections to every worker go silent for good while new ones work; requests are still
-- answered in their deadline.
system{entries = 1, workers = 3, routes = basic_routes}
for _ = 1, 30 do http(caller_port(1), "GET", "/price") end
for round = 1, 3 do
    for n = 1, 3 do link("worker-" .. n, "forget") end
    for _ = 1, 20 do
        local status = http(caller_port(1), "GET", "/price")
        expect(status == 200, "L1", "a price check got " .. tostring(status))
    end
    local code = http(caller_port(1), "POST", "/order", {["Idempotency-Key"] = "s" .. round}, "x")
    expect(code == 200 or code == 504, "P6", "an order got " .. tostring(code))
    sleep(1300)
    for n = 1, 3 do link("worker-" .. n, "forget") end
    code = http(caller_port(1), "POST", "/order", {["Idempotency-Key"] = "t" .. round}, "x")
    expect(code == 200, "L1", "an order on a fresh connection got " .. tostring(code))
end
for m = 1, 3 do link("entry-1>control-" .. m, "forget") end
sleep(2500)
local status = http(caller_port(1), "GET", "/price")
expect(status == 200, "L1", "no answer after the control links went silent")
check_invariants()
say("answered over fresh connections")
