-- A program that is given an invalid settings file must print one line that names the file and the
-- key, and exit with code 2.
start_system{controls = 1, entries = 1, workers = 0}
leader()
local count = 0
local function expect_refused(program, text, message)
    count = count + 1
    local name = "bad-" .. count
    local file = folder .. "/" .. name .. ".ini"
    write_file(file, text)
    start(name, {program, "--settings", file})
    expect(wait_for_exit(name, 3000) == 2, "settings", message .. ": the exit code is not 2")
    local line = read_file(folder .. "/" .. name .. ".log")
    expect(line:find(message, 1, true), "settings", "'" .. message .. "' is not in: " .. line)
    local _, lines = line:gsub("\n", "")
    expect(lines == 1, "settings", "more than one line: " .. line)
end
local control = control_settings(1, system_options)
local entry = entry_settings(1, system_options)
expect_refused("mango_control", control .. "[policy2]\nx = 1\n", "no such section")
expect_refused("mango_control", control:gsub("cluster = test", "cluster = test\ncolour = red"),
    "[control] colour")
expect_refused("mango_control", control:gsub("cluster = test\n", ""), "[control] cluster")
expect_refused("mango_control", control .. "x = 1\n", "[policy] x")
expect_refused("mango_control", control:gsub("%[timing%]", "[timing]\nentry_lease = 3 apples"),
    "entry_lease")
expect_refused("mango_control", control:gsub("token_file = %S+", "token_file = /nowhere"),
    "token_file")
expect_refused("mango_control", control, "locked by another process")
expect_refused("mango_control", control:gsub("data = %S+", "data = /proc/none"), "[control] data")
expect_refused("mango_control", control:gsub("data = %S+", "data = " .. folder .. "/other"),
    "[control] listen")
expect_refused("mango_entry", entry:gsub("data = %S+", "data = " .. folder .. "/third"),
    "[callers] listen")
expect_refused("mango_entry", entry:gsub("%[callers%]", "[callers]\nidle_timeout = soon"),
    "idle_timeout")
write_file(folder .. "/open", "0123456789abcdef")
start("check", {"mango_entry", "--settings", folder .. "/entry-1.ini", "--check-settings"})
expect(wait_for_exit("check", 3000) == 0, "settings", "valid settings were refused")
print_line(count .. " bad settings refused")
