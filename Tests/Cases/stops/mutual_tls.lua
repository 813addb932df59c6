-- Links between processes use mutual TLS, and the administration API uses TLS. All must work with
-- the right certificates; a process without a certificate, or with one of another authority, must
-- get no lease.
local tls_folder = folder .. "/tls"
write_file(tls_folder .. "/none", "")
local function openssl(arguments)
    local command = "cd " .. tls_folder .. " && openssl " .. arguments .. " > /dev/null 2>&1"
    expect(os.execute(command), "tls", "openssl " .. arguments .. " failed")
end
for _, authority in ipairs{"good", "other"} do
    openssl("req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 2 -subj /CN="
        .. authority .. " -keyout " .. authority .. ".key -out " .. authority .. ".pem")
    openssl("req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -subj /CN=host-" .. authority
        .. " -keyout host-" .. authority .. ".key -out host-" .. authority .. ".csr")
    openssl("x509 -req -days 2 -in host-" .. authority .. ".csr -CA " .. authority .. ".pem -CAkey "
        .. authority .. ".key -CAcreateserial -out host-" .. authority .. ".pem")
end
local function security(authority)
    local host_file = tls_folder .. "/host-" .. authority
    return "[security]\ncertificate = " .. host_file .. ".pem\nkey = " .. host_file
        .. ".key\nauthority = " .. tls_folder .. "/good.pem\n"
end
local plain_control, plain_entry = control_settings, entry_settings
function control_settings(n, options)
    return plain_control(n, options):gsub("token_file", "certificate = " .. tls_folder
        .. "/host-good.pem\nkey = " .. tls_folder .. "/host-good.key\ntoken_file")
        .. security("good")
end
function entry_settings(n, options) return plain_entry(n, options) .. security("good") end
-- http_request has no TLS, so the administration API is used through the operator's program.
local function run_operator(command)
    local addresses = admin_port(1) .. "," .. admin_port(2) .. "," .. admin_port(3)
    change_number = change_number + 1
    local name = "operator-" .. change_number
    local arguments = {"mango_operator", "--control", addresses, "--token-file", folder .. "/token",
        "--authority", tls_folder .. "/good.pem"}
    for _, word in ipairs(command) do arguments[#arguments + 1] = word end
    start(name, arguments)
    return wait_for_exit(name, 20000), read_file(folder .. "/" .. name .. ".log")
end
start_system{entries = 2, workers = 2}
write_file(folder .. "/routes", basic_routes)
write_file(folder .. "/pools", "[desk]\nworkers = w*\n")
expect(run_operator{"routes", "put", folder .. "/routes"} == 0, "tls",
    "the routes were not accepted")
expect(run_operator{"pools", "put", folder .. "/pools"} == 0, "tls", "the pools were not accepted")
wait_until(8000, "tls", "no request was answered over TLS links", function()
    return http_request(caller_port(1), "GET", "/price") == 200
end)
local code, text = run_operator{"status"}
expect(code == 0 and text:match("control%-3"), "tls", text)
expect(http_request(admin_port(1), "GET", "/v1/status") == nil, "tls", "answered without TLS")
-- An entry with a certificate of another authority, and one without TLS, must get no lease.
for _, kind in ipairs{"other", "none"} do
    send_signal("entry-2", "KILL")
    wait_for_exit("entry-2", 1000)
    local settings = plain_entry(2, system_options) .. (kind == "other" and security("other") or "")
    write_file(folder .. "/entry-2.ini", settings)
    start_entry(2)
    sleep(1500)
    local status, _, headers = http_request(caller_port(2), "GET", "/price")
    expect(status == 503 and headers["Mango-Reason"] == "no_lease", "tls",
        "entry-2 (" .. kind .. ") got a lease")
end
expect(http_request(caller_port(1), "GET", "/price") == 200, "tls",
    "the entry with the right certificate does not serve")
print_line("served with the right certificates only")
