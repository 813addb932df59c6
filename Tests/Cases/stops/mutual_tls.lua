-- Links between processes with mutual TLS and an administration API with TLS: everything works with
-- the right certificates, a process without one or of another authority gets nothing.
local made = folder .. "/tls"
write_file(made .. "/none", "")
local function openssl(words)
    local command = "cd " .. made .. " && openssl " .. words .. " > /dev/null 2>&1"
    expect(os.execute(command), "tls", "openssl " .. words)
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
    return "[security]\ncertificate = " .. made .. "/host-" .. authority .. ".pem\nkey = " .. made
        .. "/host-" .. authority .. ".key\nauthority = " .. made .. "/good.pem\n"
end
local plain_control, plain_entry = control_settings, entry_settings
function control_settings(n, options)
    return plain_control(n, options):gsub("token_file", "certificate = " .. made
        .. "/host-good.pem\nkey = " .. made .. "/host-good.key\ntoken_file")
        .. security("good")
end
function entry_settings(n, options) return plain_entry(n, options) .. security("good") end
-- The administration API speaks TLS, so the scenario asks through the operator's command line.
local function operator(words)
    local addresses = admin_port(1) .. "," .. admin_port(2) .. "," .. admin_port(3)
    change_number = change_number + 1
    local name = "operator-" .. change_number
    local arguments = {"mango_operator", "--control", addresses, "--token-file", folder .. "/token",
        "--authority", made .. "/good.pem"}
    for _, word in ipairs(words) do arguments[#arguments + 1] = word end
    start(name, arguments)
    return wait(name, 20000), read_file(folder .. "/" .. name .. ".log")
end
system{entries = 2, workers = 2}
write_file(folder .. "/routes", basic_routes)
write_file(folder .. "/pools", "[desk]\nworkers = w*\n")
expect(operator{"routes", "put", folder .. "/routes"} == 0, "tls", "the routes were not taken")
expect(operator{"pools", "put", folder .. "/pools"} == 0, "tls", "the pools were not taken")
await(8000, "tls", "no answer over TLS links", function()
    return http(caller_port(1), "GET", "/price") == 200
end)
local code, text = operator{"status"}
expect(code == 0 and text:match("control%-3"), "tls", text)
expect(http(admin_port(1), "GET", "/v1/status") == nil, "tls", "answered without TLS")
-- An entry of another authority, and one without TLS, get no lease.
for _, kind in ipairs{"other", "none"} do
    signal("entry-2", "KILL")
    wait("entry-2", 1000)
    local settings = plain_entry(2, the_options) .. (kind == "other" and security("other") or "")
    write_file(folder .. "/entry-2.ini", settings)
    start_entry(2)
    sleep(1500)
    local status, _, headers = http(caller_port(2), "GET", "/price")
    expect(status == 503 and headers["Mango-Reason"] == "no_lease", "tls", kind .. " got a lease")
end
expect(http(caller_port(1), "GET", "/price") == 200, "tls", "the good entry was disturbed")
say("served with the right certificates only")
