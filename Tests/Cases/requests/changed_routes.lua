-- P7: the routes change between a request with a key and its resend, so that another row matches the
-- path, or none. The key must not be executed again, nor make a second job, nor be refused as not run.
local function tables(order_row, batch_row)
    return order_row .. "path = /order\nmethod = POST\npool = desk\ndeadline = 3s\n"
        .. batch_row .. "path = /batch\npool = desk\nkind = batch\n"
end
start_system{entries = 2, workers = 2, routes = tables("[order]\n", "[batch]\nteam = red\n"),
    worker = {"--service-ms", "50"}}
local function wait_until_in_force()
    wait_until(3000, "P10", "the configuration is not in force", configuration_in_force)
end
local function order(entry, key, timeout_ms)
    return http_request(caller_port(entry), "POST", "/order", {["Idempotency-Key"] = key}, "x",
        timeout_ms or 3000)
end

local status, first = order(1, "answered")
expect(status == 200, "L1", "the order was not answered")
local job = submit_job(1, "/batch", '{"tasks":1,"run_time_ms":100}', {["Idempotency-Key"] = "j"})
-- This one is still being executed when the routes change.
configure_worker(1, '{"service_ms":2500}') configure_worker(2, '{"service_ms":2500}')
expect(order(1, "unanswered", 300) == nil, "P7", "the order was answered too early")

put_table("routes", tables("[renamed]\n", "[batch]\nteam = blue\n"))
wait_until_in_force()
local code, text, headers = order(2, "answered")
expect(code == 200 and text == first, "P7", "the resend was executed again: " .. tostring(text))
expect(submit_job(2, "/batch", '{"tasks":1,"run_time_ms":100}', {["Idempotency-Key"] = "j"}) == job,
    "P7", "the resend of a job made a second one")
wait_until(8000, "P7", "the resend was not answered", function()
    local resent, answer = order(2, "unanswered")
    return resent == 200 and answer:match('"runs":1')
end)

put_table("routes", tables("[renamed]\n", "[batch]\nteam = blue\n")
    .. "[longer]\npath = /orde\nmethod = POST\npool = desk\n")
wait_until_in_force()
code, text = order(1, "answered")
expect(code == 200 and text == first, "P7", "the resend was executed again: " .. tostring(text))

-- Without a route nothing new is taken, and the old responses are still given.
put_table("routes", "[other]\npath = /other\npool = desk\n")
wait_until_in_force()
code, text, headers = order(2, "answered")
expect(code == 200 and text == first, "P6", "the resend was refused: " .. tostring(text))
expect(submit_job(1, "/batch", '{"tasks":1,"run_time_ms":100}', {["Idempotency-Key"] = "j"}) == job,
    "P6", "the resend of the job was refused")
code, text, headers = order(1, "new")
expect(code == 404 and headers["Mango-Outcome"] == "not-run", "P6", "an order without a route ran")
code = http_request(caller_port(1), "POST", "/order", {["Idempotency-Key"] = "answered"}, "y", 3000)
expect(code == 422, "P7", "a key was accepted for another request")
check_invariants()
print_line("every key ran at most once")
