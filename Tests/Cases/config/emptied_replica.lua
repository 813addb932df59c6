-- P10: a control process restarts with an empty disk and must join the group under a new identity.
-- Right after that the leader loses its disk too; no accepted change may be lost.
start_system{entries = 1, workers = 0}
leader()
for n = 0, 9 do
    expect(try_put_table("pools", "[desk" .. n .. "]\nworkers = w*\n", n) == 200, "P10",
        "change " .. n .. " was refused")
end
local emptied = leader() % 3 + 1
local function identity_in(status, n)
    return status:match('{"name":"control%-' .. n .. '"[^}]-"identity":"(%x+)"')
end
local before = identity_in(admin_result("GET", "/v1/status"), emptied)
send_signal("control-" .. emptied, "KILL")
wait_for_exit("control-" .. emptied, 1000)
remove_tree(folder .. "/control-" .. emptied)
start_control(emptied)
wait_until(15000, "P10", "the emptied replica does not vote", function()
    local text = admin_result("GET", "/v1/status")
    local _, voters = text:gsub('"voter":true', "")
    return voters == 3 and identity_in(text, emptied) ~= before
end)
local second = leader()
send_signal("control-" .. second, "KILL")
wait_for_exit("control-" .. second, 1000)
remove_tree(folder .. "/control-" .. second)
expect(table_version("pools") == 10, "P10", "an accepted change was lost")
expect(try_put_table("pools", "[last]\nworkers = w*\n", 10) == 200, "P10",
    "a change after the second loss was refused")
print_line("ten changes outlived an emptied disk and a second loss")
