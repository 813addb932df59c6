-- P7, P5: the entry is killed after it dispatched an order; a resend to the other entry gets the
-- answer that the worker gave, without a second run.
system{entries = 2, workers = 3, routes = basic_routes, worker = {"--service-ms", "500"}}
local headers = {["Idempotency-Key"] = "order-7", ["X-Nonce"] = "n7"}
local status = http(caller_port(1), "POST", "/order", headers, "forty boxes", 200)
expect(status == nil, "P7", "answered too early")
signal("entry-1", "KILL")
wait("entry-1", 1000)
local during, text, heads = http(caller_port(2), "POST", "/order", headers, "forty boxes", 2000)
expect(during == 409 or during == 200, "P7", "the resend got " .. tostring(during))
expect(during ~= 409 or heads["Mango-Outcome"] == "unknown", "P6", "a false outcome")
local answer = await(5000, "P7", "the resend was not answered", function()
    local code, body = http(caller_port(2), "POST", "/order", headers, "forty boxes", 2000)
    return code == 200 and body
end)
expect(answer:match('"echo":"forty boxes"') and answer:match('"runs":1'), "P5", answer)
local code, again, replay = http(caller_port(2), "POST", "/order", headers, "forty boxes", 2000)
expect(code == 200 and again == answer and replay["Mango-Replayed"] == "yes", "P7",
    "the stored answer differs")
check_invariants()
say("the order ran once and its answer outlived the entry")
