-- Functions for all scenarios: they run a system on loopback with a relay on each link between
-- processes, so that links can be blocked, and provide checks that name the guarantee they test (P1
-- and so on for safety, L1 and so on for liveness).

token = "0123456789abcdef0123456789abcdef"
ledgers = {}

function port(offset) return "127.0.0.1:" .. (first_port + offset) end

-- Ports: 0.. control, 10.. administration API, 20.. callers, 30.. heartbeats of workers, 40..
-- workers, 100.. relays between control processes, 130.. from entries to control, 160.. to workers.
function control_port(n) return port(n) end
function admin_port(n) return port(10 + n) end
function caller_port(n) return port(20 + n) end
function heartbeat_port(n) return port(30 + n) end
function worker_port(n) return port(40 + n) end

-- Fails the scenario with the guarantee's id and the text unless the condition is true.
function expect(condition, guarantee, text)
    if not condition then error(guarantee .. " violated: " .. text, 2) end
end

-- Calls the function every 20 ms until it returns a true value, and returns that value. Fails the
-- scenario when the timeout has passed.
function wait_until(timeout_ms, guarantee, text, check)
    local deadline = now() + timeout_ms * 1000
    while now() < deadline do
        local value = check()
        if value then return value end
        sleep(20)
    end
    error(guarantee .. " violated: " .. text .. " (waited " .. timeout_ms .. " ms)", 2)
end

function control_settings(n, options)
    local replicas = {}
    for m = 1, options.controls do
        local address = m == n and control_port(m) or port(100 + n * 5 + m)
        replicas[#replicas + 1] = "control-" .. m .. "@" .. address
    end
    return table.concat({
        "[control]", "cluster = test", "name = control-" .. n, "listen = " .. control_port(n),
        "data = " .. folder .. "/control-" .. n, "replicas = " .. table.concat(replicas, ", "),
        "snapshot_entries = " .. (options.snapshot_entries or 5000),
        "[admin]", "listen = " .. admin_port(n), "token_file = " .. folder .. "/token",
        "[timing]", options.timing or "", "[policy]", options.policy or ""}, "\n") .. "\n"
end

function entry_settings(n, options)
    local control = {}
    for m = 1, options.controls do control[#control + 1] = port(130 + n * 5 + m) end
    return table.concat({
        "[entry]", "cluster = test", "name = entry-" .. n, "failure_domain = d" .. n,
        "data = " .. folder .. "/entry-" .. n, "control = " .. table.concat(control, ", "),
        options.entry or "", "[callers]", "listen = " .. caller_port(n),
        options.callers or "",
        "[workers]", "listen = " .. heartbeat_port(n)}, "\n") .. "\n"
end

function start_control(n)
    start("control-" .. n, {"mango_control", "--settings", folder .. "/control-" .. n .. ".ini"})
end

function start_entry(n)
    start("entry-" .. n, {"mango_entry", "--settings", folder .. "/entry-" .. n .. ".ini"})
end

-- Starts a worker. It listens on its own port but announces the port of a relay, through which the
-- system reaches it.
function start_worker(n, options)
    local entries = {}
    for m = 1, options.entries do entries[#entries + 1] = heartbeat_port(m) end
    local ledger = folder .. "/ledger-" .. n
    ledgers[n] = ledger
    local arguments = {"mango_stand_in", "--name", "w" .. n, "--address", worker_port(n),
        "--announce-address", port(160 + n),
        "--failure-domain", "d" .. ((n - 1) % (options.domains or 3) + 1),
        "--entries", table.concat(entries, ","), "--ledger", ledger,
        "--announce-ms", "300", "--checkpoints", folder .. "/checkpoints"}
    for _, argument in ipairs(options.worker or {}) do arguments[#arguments + 1] = argument end
    start("w" .. n, arguments)
end

-- Kills a worker and records that in its ledger, which a killed worker cannot do itself: all runs
-- on it have ended.
function kill_worker(n)
    send_signal("w" .. n, "KILL")
    wait_for_exit("w" .. n, 1000)
    append_file(ledgers[n], '{"at":' .. now() .. ',"worker":"w' .. n
        .. '","event":"worker died","subject":"","number":0}\n')
end

-- Changes the behaviour of a stand-in worker, for example to refuse all requests.
function configure_worker(n, json)
    return http_request(worker_port(n), "POST", "/stand-in", {}, json)
end

-- Starts all processes and, if routes are given, stores the tables of routes and pools and waits
-- until all workers serve. Options: controls, entries, workers (numbers of processes), routes,
-- pools and those that the functions above read.
function start_system(options)
    system_options = options
    options.controls = options.controls or 3
    options.entries = options.entries or 2
    options.workers = options.workers or 6
    write_file(folder .. "/token", token)
    write_file(folder .. "/checkpoints/none", "")
    for n = 1, options.controls do
        for m = 1, options.controls do
            if n ~= m then
                add_relay("control-" .. n .. ">control-" .. m, port(100 + n * 5 + m),
                    control_port(m))
            end
        end
        write_file(folder .. "/control-" .. n .. ".ini", control_settings(n, options))
        start_control(n)
    end
    for n = 1, options.entries do
        for m = 1, options.controls do
            add_relay("entry-" .. n .. ">control-" .. m, port(130 + n * 5 + m), control_port(m))
        end
        write_file(folder .. "/entry-" .. n .. ".ini", entry_settings(n, options))
        start_entry(n)
    end
    for n = 1, options.workers do
        add_relay("worker-" .. n, port(160 + n), worker_port(n))
        start_worker(n, options)
    end
    if options.routes then
        put_table("routes", options.routes)
        put_table("pools", options.pools or "[desk]\nworkers = w*\n")
        wait_for_workers(options.workers)
    end
end

-- Sends a request to the administration API of each control process in turn. Returns the status,
-- the body and the number of the first process whose status is neither 503 nor 504, which is the
-- leader; nil if there is none.
function admin_request(method, path, body)
    for n = 1, system_options.controls do
        local status, text = http_request(admin_port(n), method, path,
            {Authorization = "Bearer " .. token}, body, 1500)
        if status and status ~= 503 and status ~= 504 then return status, text, n end
    end
end

-- Repeats a request to the administration API until the status is 200; returns the body.
function admin_result(method, path, body)
    return wait_until(10000, "P10", "no leader answered the request for " .. path, function()
        local status, text = admin_request(method, path, body)
        return status == 200 and text
    end)
end

-- The number of the control process that leads.
function leader()
    return wait_until(10000, "P10", "there is no leader", function()
        local _, _, n = admin_request("GET", "/v1/status")
        return n
    end)
end

-- The text as a JSON string literal.
function json_string(text)
    return '"' .. text:gsub("\\", "\\\\"):gsub("\n", "\\n"):gsub('"', '\\"') .. '"'
end

change_number = 0
function next_change_id()
    change_number = change_number + 1
    return "change-" .. change_number
end

-- Tries once to store a table if it still has the given version; returns the status and the body.
function try_put_table(name, text, version, id)
    local body = '{"expected_version":' .. version .. ',"change_id":"' .. (id or next_change_id())
        .. '","text":' .. json_string(text) .. "}"
    return admin_request("PUT", "/v1/tables/" .. name, body)
end

function table_version(name)
    return tonumber(admin_result("GET", "/v1/tables/" .. name):match('"version":(%d+)'))
end

-- Stores a table over its current version; repeats the same change until it is accepted.
function put_table(name, text)
    local id = next_change_id()
    local version = table_version(name)
    wait_until(10000, "P10", "the table was not accepted", function()
        return try_put_table(name, text, version, id) == 200
    end)
end

function domain_version(name)
    local row = admin_result("GET", "/v1/domains"):match('{"domain":"' .. name .. '"[^}]*}')
    return tonumber(row and row:match('"version":(%d+)') or "0")
end

-- Takes a failure domain out of service or back; returns the time at which that was accepted.
function set_domain_in_service(name, in_service)
    local id = next_change_id()
    local version = domain_version(name)
    wait_until(10000, "P4", "the change of the domain was not accepted", function()
        return admin_request("PUT", "/v1/domains/" .. name, '{"expected_version":' .. version
            .. ',"change_id":"' .. id .. '","in_service":' .. tostring(in_service) .. "}") == 200
    end)
    return now()
end

-- Waits until that many workers serve, and every worker has granted credits to entries.
function wait_for_workers(count)
    wait_until(15000, "L1", "not all workers serve and have credits", function()
        local text = admin_result("GET", "/v1/workers")
        local _, serving = text:gsub('"serving":true', "")
        local _, idle = text:gsub('"credits":0', "")
        return serving >= count and idle == 0
    end)
end

function configuration_in_force()
    return admin_result("GET", "/v1/status"):match('"in_force":true') ~= nil
end

-- Submits a job through an entry; repeats that until it is accepted. Returns the job id.
function submit_job(entry, path, body, headers)
    local id = wait_until(8000, "L2", "the job was not accepted", function()
        local status, text = http_request(caller_port(entry), "POST", path, headers or {}, body,
            4000)
        return status == 202 and tonumber(text:match('"job":(%d+)'))
    end)
    return id
end

function job_status(id) return admin_result("GET", "/v1/jobs/" .. id) end

-- Waits until the job is in the phase; returns its status as JSON text.
function wait_for_job(id, phase, timeout_ms)
    return wait_until(timeout_ms, "L2", "job " .. id .. " is not " .. phase, function()
        local text = job_status(id)
        return text:match('^{"job":%d+,"phase":"' .. phase .. '"') and text
    end)
end

-- Starts the load generator in the background; load_result waits for its end.
function start_load(name, options)
    local arguments = {"mango_load"}
    for _, option in ipairs(options) do arguments[#arguments + 1] = tostring(option) end
    start(name, arguments)
end

-- Waits for the end of a load generator; returns its counts by name.
function load_result(name, timeout_ms)
    local code = wait_for_exit(name, timeout_ms or 60000)
    local text = read_file(folder .. "/" .. name .. ".log")
    expect(code == 0, "P5", "the load generator exited with " .. tostring(code) .. ": " .. text)
    local result = {}
    for key, value in text:gmatch('"([%w_]+)":([%d%.E+-]+)') do result[key] = tonumber(value) end
    return result
end

function all_ledgers()
    local list = {}
    for _, path in pairs(ledgers) do list[#list + 1] = path end
    return list
end

-- Checks the ledgers of all workers: no worker held more than it announced, no task ran twice at
-- the same time, and no request with an idempotency key was executed twice.
function check_invariants()
    local found = find_violations(all_ledgers())
    if #found > 0 then error(table.concat(found, "\n"), 2) end
end

-- The value of a metric of an entry, without labels; 0 if the entry does not have it.
function entry_metric(n, name)
    local _, text = http_request(heartbeat_port(n), "GET", "/metrics")
    return tonumber((text or ""):match("\n?" .. name:gsub("%p", "%%%0") .. " (%d+)") or "0")
end

basic_routes = [[
[price]
path = /price
method = GET
pool = desk
deadline = 1s
[order]
path = /order
method = POST
pool = desk
deadline = 2s
[batch]
path = /batch
method = POST
kind = batch
pool = desk
deadline = 3s
team = warehouse
]]
