-- P4, P10: an entry is cut off in silence, a domain is taken out, and nothing starts in it later
-- than 3 s after acceptance; the entry refuses truthfully and is not ready.
system{entries = 2, workers = 6, routes = basic_routes, worker = {"--service-ms", "2"}}
start_load("prices", {"--target", caller_port(1) .. "," .. caller_port(2), "--path", "/price",
    "--rate", 200, "--seconds", 9})
sleep(1000)
for n = 1, 3 do link("entry-1>control-" .. n, "silent") end
local accepted = set_domain("d1", false)
await(3000, "P10", "the entry is ready without a lease", function()
    return http(caller_port(1), "GET", "/mango/v1/health/ready") == 503
end)
local status, _, headers = http(caller_port(1), "GET", "/price")
expect(status == 503 and headers["Mango-Outcome"] == "not-run" and headers["Retry-After"], "P6",
    "a refusal without its outcome")
sleep(2500)
for _, w in ipairs{"w1", "w4"} do
    expect(starts(all_ledgers(), "request run", w, accepted + 3000000, now()) == 0, "P4",
        "a request started in the domain")
end
for n = 1, 3 do link("entry-1>control-" .. n, "pass") end
await(5000, "L1", "the entry did not come back", function()
    return http(caller_port(1), "GET", "/mango/v1/health/ready") == 200
end)
sleep(500)
for _, w in ipairs{"w1", "w4"} do
    expect(starts(all_ledgers(), "request run", w, accepted + 3000000, now()) == 0, "P4",
        "a request started in the domain after the cut healed")
end
set_domain("d1", true)
await_workers(6)
load_result("prices")
check_invariants()
say("nothing started in the domain that was taken out")
