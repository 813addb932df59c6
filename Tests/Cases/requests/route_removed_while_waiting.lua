-- P6: a request with a key waits for a worker, without a claim yet, while its row is removed. When a
-- resend is answered with "not-run", the request must not run afterwards.
local order = "[order]\npath = /order\nmethod = POST\npool = desk\ndeadline = 20s\n"
local other = "[other]\npath = /other\nmethod = POST\npool = desk\ndeadline = 20s\n"
start_system{entries = 1, workers = 1, routes = order .. other,
    worker = {"--service-ms", "3000", "--slots", "1"}}
start_load("other", {"--target", caller_port(1), "--path", "/other", "--method", "POST",
    "--callers", 1, "--seconds", 0.1, "--timeout-ms", 15000})
sleep(500)
local headers = {["Idempotency-Key"] = "waits"}
expect(http_request(caller_port(1), "POST", "/order", headers, "x", 300) == nil, "P6",
    "the order did not wait")
put_table("routes", other)
wait_until(3000, "P10", "the configuration is not in force", configuration_in_force)
local function resend() return http_request(caller_port(1), "POST", "/order", headers, "x", 3000) end
local code, _, answer = resend()
expect(code, "L1", "the resend was not answered")
if code == 404 and answer["Mango-Outcome"] == "not-run" then
    sleep(10000)
    expect(resend() == 404, "P6", "the order ran after it was reported as not run")
end
print_line("the report was true")
