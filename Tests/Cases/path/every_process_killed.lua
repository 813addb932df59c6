-- kill -9 of any one process during load leaves every answered request right, and the killed
-- process rejoins. Proves P5, P7 and L1 for single losses.
system{routes = basic_routes}
start_load("prices", {"--target", caller_port(1) .. "," .. caller_port(2), "--path", "/price",
    "--rate", 200, "--seconds", 14, "--balanced"})
start_load("orders", {"--target", caller_port(1) .. "," .. caller_port(2), "--path", "/order",
    "--method", "POST", "--keyed", "--body-bytes", 50, "--rate", 30, "--seconds", 14, "--balanced"})
local job = submit(1, "/batch", '{"tasks":6,"run_time_ms":6000}')
sleep(1500)
local victims = {"control-" .. leader(), "entry-1", "w1", "control-" .. (leader() % 3 + 1)}
for _, name in ipairs(victims) do
    local n = tonumber(name:match("%d+$"))
    if name:match("^w") then
        kill_worker(n)
    else
        signal(name, "KILL")
        wait(name, 1000)
    end
    sleep(1200)
    if name:match("^control") then start_control(n)
    elseif name:match("^entry") then start_entry(n)
    else start_worker(n, the_options) end
    sleep(1200)
end
await_workers(6)
local prices = load_result("prices")
local orders = load_result("orders")
expect(prices.wrong == 0 and orders.wrong == 0, "P5", "a wrong answer")
-- A lost entry takes what it had in progress with it, until the balancer notices.
expect(prices.answered > 0.9 * 14 * 200, "L1", "few prices answered: " .. prices.answered)
expect(orders.answered > 0.9 * 14 * 30, "L1", "few orders answered: " .. orders.answered)
await_job(job, "finished", 30000)
check_invariants()
say("every answer was right and every killed process came back")
