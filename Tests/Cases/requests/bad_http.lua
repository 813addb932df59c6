-- P5: malformed, oversized or unfinished HTTP requests must get the right status, and must not
-- affect the requests of other callers. Also checks pipelining, unknown paths, the administration
-- API without a token and an invalid heartbeat.
start_system{controls = 1, entries = 1, workers = 2, routes = basic_routes,
    entry = "drain_time = 2s", callers = "header_timeout = 700ms"}
start_load("prices", {"--target", caller_port(1), "--path", "/price", "--rate", 100,
    "--seconds", 4})
local function status_of(bytes)
    return send_raw(caller_port(1), bytes, 300):match("^HTTP/1.1 (%d+)")
end
expect(status_of("nonsense\r\n\r\n") == "400", "P5", "a malformed request line")
expect(status_of("GET /price HTTP/9.9\r\n\r\n") == "400", "P5", "an unknown HTTP version")
expect(status_of("GET /price HTTP/1.1\r\nContent-Length: -1\r\n\r\n") == "400", "P5",
    "a negative Content-Length")
expect(status_of("GET /price HTTP/1.1\r\nX: " .. ("a"):rep(40000) .. "\r\n\r\n") == "431", "P5",
    "a header above the limit")
expect(status_of("POST /order HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n") == "413", "P5",
    "a body above the limit")
-- A request that stops half-way must time out with status 408, and the caller must receive it.
local function status_after_timeout(bytes)
    return send_raw(caller_port(1), bytes, 1500):match("^HTTP/1.1 (%d+)")
end
expect(status_after_timeout("POST /order HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc") == "408", "P5",
    "an unfinished body")
expect(status_after_timeout("POST /order HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")
    == "408", "P5", "an unfinished chunked body")
expect(status_after_timeout("GET /price HTTP/1.1\r\nX: y\r\n") == "408", "P5",
    "an unfinished header")
local two = send_raw(caller_port(1), "GET /price?a HTTP/1.1\r\nX-Nonce: a\r\n\r\n"
    .. "GET /price?b HTTP/1.1\r\nX-Nonce: b\r\n\r\n", 500)
local first, second = two:find('"nonce":"a"'), two:find('"nonce":"b"')
expect(first and second and first < second, "P5", "pipelined responses are out of order")
local status, _, headers = http_request(caller_port(1), "GET", "/nowhere")
expect(status == 404 and headers["Mango-Outcome"] == "not-run", "P6", "an unknown path")
local code = http_request(admin_port(1), "GET", "/v1/status")
expect(code == 401, "P10", "the administration API answered without a token")
code = http_request(heartbeat_port(1), "POST", "/mango/v1/announce", {}, '{"name":7}')
expect(code == 400, "P8", "an invalid heartbeat was accepted")
local result = load_result("prices")
expect(result.answered == 400, "P5",
    "requests of other callers failed, answered of 400: " .. result.answered)
print_line("400, 413 and 431 where due, nobody disturbed")
