-- P9: under load, each control process (the leader first) and each entry is stopped with SIGTERM
-- and restarted. No request may be cut off.
start_system{entries = 3, workers = 4, routes = basic_routes,
    entry = "balancer_time = 400ms\ndrain_time = 5s", worker = {"--service-ms", "20"}}
start_load("prices", {
    "--target", table.concat({caller_port(1), caller_port(2), caller_port(3)}, ","),
    "--path", "/price", "--rate", 200, "--seconds", 17, "--balanced"})
start_load("orders", {
    "--target", table.concat({caller_port(1), caller_port(2), caller_port(3)}, ","),
    "--path", "/order", "--method", "POST", "--keyed", "--rate", 20, "--seconds", 17, "--balanced"})
sleep(800)
local first = leader()
for _, n in ipairs{first, first % 3 + 1, (first + 1) % 3 + 1} do
    send_signal("control-" .. n, "TERM")
    expect(wait_for_exit("control-" .. n, 8000) == 0, "P9",
        "control-" .. n .. " did not exit with 0")
    start_control(n)
    sleep(1200)
end
for n = 1, 3 do
    send_signal("entry-" .. n, "TERM")
    expect(wait_for_exit("entry-" .. n, 8000) == 0, "P9", "entry-" .. n .. " did not exit with 0")
    start_entry(n)
    wait_until(6000, "P9", "the entry is not ready", function()
        return http_request(caller_port(n), "GET", "/mango/v1/health/ready") == 200
    end)
end
local prices, orders = load_result("prices"), load_result("orders")
expect(prices.failed == 0 and prices.unknown == 0, "P9",
    prices.failed .. " price requests were cut off")
expect(prices.answered >= 3350, "L1", "too few price requests answered: " .. prices.answered)
expect(orders.answered == 340, "P9", "orders answered " .. orders.answered)
check_invariants()
print_line("no request was cut")
