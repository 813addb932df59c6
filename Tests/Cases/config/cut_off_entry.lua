-- P4, P10: the links of an entry to control are blocked without notice and a failure domain is
-- taken out of service. Requests must not start in the domain later than 3 s after the change was
-- accepted, also once the links work again; an entry without a lease must refuse with its outcome
-- and report that it is not ready.
start_system{entries = 2, workers = 6, routes = basic_routes, worker = {"--service-ms", "2"}}
start_load("prices", {"--target", caller_port(1) .. "," .. caller_port(2), "--path", "/price",
    "--rate", 200, "--seconds", 9})
sleep(1000)
for n = 1, 3 do set_link_mode("entry-1>control-" .. n, "silent") end
local accepted = set_domain_in_service("d1", false)
wait_until(3000, "P10", "the entry is ready without a lease", function()
    return http_request(caller_port(1), "GET", "/mango/v1/health/ready") == 503
end)
local status, _, headers = http_request(caller_port(1), "GET", "/price")
expect(status == 503 and headers["Mango-Outcome"] == "not-run" and headers["Retry-After"], "P6",
    "a refusal without Mango-Outcome or Retry-After")
sleep(2500)
for _, w in ipairs{"w1", "w4"} do
    expect(count_events(all_ledgers(), "request run", w, accepted + 3000000, now()) == 0, "P4",
        "a request started in the domain")
end
for n = 1, 3 do set_link_mode("entry-1>control-" .. n, "pass") end
wait_until(5000, "L1", "the entry is not ready after its links work again", function()
    return http_request(caller_port(1), "GET", "/mango/v1/health/ready") == 200
end)
sleep(500)
for _, w in ipairs{"w1", "w4"} do
    expect(count_events(all_ledgers(), "request run", w, accepted + 3000000, now()) == 0, "P4",
        "a request started in the domain after the links work again")
end
set_domain_in_service("d1", true)
wait_for_workers(6)
load_result("prices")
check_invariants()
print_line("nothing started in the domain that was taken out")
