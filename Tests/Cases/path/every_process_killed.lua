-- P5, P7, L1: the leader, an entry, a worker and another control process are killed one after the
-- other under load. Every answered request must have the right response, a key may be executed only
-- once, and each killed process must serve again after its restart.
start_system{routes = basic_routes}
start_load("prices", {"--target", caller_port(1) .. "," .. caller_port(2), "--path", "/price",
    "--rate", 200, "--seconds", 14, "--balanced"})
start_load("orders", {"--target", caller_port(1) .. "," .. caller_port(2), "--path", "/order",
    "--method", "POST", "--keyed", "--body-bytes", 50, "--rate", 30, "--seconds", 14, "--balanced"})
local job = submit_job(1, "/batch", '{"tasks":6,"run_time_ms":6000}')
sleep(1500)
local victims = {"control-" .. leader(), "entry-1", "w1", "control-" .. (leader() % 3 + 1)}
for _, name in ipairs(victims) do
    local n = tonumber(name:match("%d+$"))
    if name:match("^w") then
        kill_worker(n)
    else
        send_signal(name, "KILL")
        wait_for_exit(name, 1000)
    end
    sleep(1200)
    if name:match("^control") then start_control(n)
    elseif name:match("^entry") then start_entry(n)
    else start_worker(n, system_options) end
    sleep(1200)
end
wait_for_workers(6)
local prices = load_result("prices")
local orders = load_result("orders")
expect(prices.wrong == 0 and orders.wrong == 0, "P5", "a response was wrong")
-- Requests in progress on a killed entry fail, and so do new ones until the balancer notices.
expect(prices.answered > 0.9 * 14 * 200, "L1",
    "too few price requests answered: " .. prices.answered)
expect(orders.answered > 0.9 * 14 * 30, "L1",
    "too few order requests answered: " .. orders.answered)
wait_for_job(job, "finished", 30000)
check_invariants()
print_line("every answer was right and every killed process came back")
