-- A bad settings file is one clear line with file and key, and exit code 2.
system{controls = 1, entries = 1, workers = 0}
leader()
local count = 0
local function bad(program, text, words)
    count = count + 1
    local name = "bad-" .. count
    local file = folder .. "/" .. name .. ".ini"
    write_file(file, text)
    start(name, {program, "--settings", file})
    expect(wait(name, 3000) == 2, "settings", words .. ": not exit 2")
    local line = read_file(folder .. "/" .. name .. ".log")
    expect(line:find(words, 1, true), "settings", "'" .. words .. "' is not in: " .. line)
    local _, lines = line:gsub("\n", "")
    expect(lines == 1, "settings", "more than one line: " .. line)
end
local control = control_settings(1, the_options)
local entry = entry_settings(1, the_options)
bad("mango_control", control .. "[policy2]\nx = 1\n", "no such section")
bad("mango_control", control:gsub("cluster = test", "cluster = test\ncolour = red"), "[control] colour")
bad("mango_control", control:gsub("cluster = test\n", ""), "[control] cluster")
bad("mango_control", control .. "x = 1\n", "[policy] x")
bad("mango_control", control:gsub("%[timing%]", "[timing]\nentry_lease = 3 apples"), "entry_lease")
bad("mango_control", control:gsub("token_file = %S+", "token_file = /nowhere"), "token_file")
bad("mango_control", control, "locked by another process")
bad("mango_control", control:gsub("data = %S+", "data = /proc/none"), "[control] data")
bad("mango_control", control:gsub("data = %S+", "data = " .. folder .. "/other"), "[control] listen")
bad("mango_entry", entry:gsub("data = %S+", "data = " .. folder .. "/third"), "[callers] listen")
bad("mango_entry", entry:gsub("%[callers%]", "[callers]\nidle_timeout = soon"), "idle_timeout")
write_file(folder .. "/open", "0123456789abcdef")
start("check", {"mango_entry", "--settings", folder .. "/entry-1.ini", "--check-settings"})
expect(wait("check", 3000) == 0, "settings", "good settings were refused")
say(count .. " bad settings refused")
