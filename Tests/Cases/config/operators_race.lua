-- P10: two changes of the same table version, resends of a change whose response was lost, reused
-- change ids, hundreds of changes with a change of leader, then a restart of all processes. No
-- accepted change may be lost or reverted.
start_system{entries = 1, workers = 0, snapshot_entries = 100}
put_table("pools", "[desk]\nworkers = w*\n")
local function routes(n) return "[r]\npath = /" .. n .. "\npool = desk\n" end
expect(try_put_table("routes", routes(0), 0, "a") == 200, "P10", "the first change was refused")
expect(try_put_table("routes", routes(1), 0, "b") == 409, "P10",
    "a second change of the same version was accepted")
expect(try_put_table("routes", routes(0), 0, "a") == 200, "P10", "a resend got another result")
expect(try_put_table("routes", routes(2), 0, "a") == 409, "P10",
    "a change id was accepted for another change")
expect(try_put_table("routes", "[r]\npath = /\n", 1, "bad") == 422, "P10",
    "an invalid table was accepted")
for n = 1, 330 do
    expect(try_put_table("routes", routes(n), n, "n" .. n) == 200, "P10",
        "change " .. n .. " was refused")
    if n == 150 then
        local old_leader = leader()
        send_signal("control-" .. old_leader, "KILL")
        wait_for_exit("control-" .. old_leader, 1000)
        leader()
        start_control(old_leader)
        expect(try_put_table("routes", routes(n), n, "n" .. n) == 200, "P10",
            "a resend after the change of leader was refused")
    end
end
wait_until(3000, "P10", "the configuration is not in force within 3 s", configuration_in_force)
for n = 1, 3 do send_signal("control-" .. n, "KILL") wait_for_exit("control-" .. n, 1000) end
send_signal("entry-1", "KILL")
wait_for_exit("entry-1", 1000)
for n = 1, 3 do start_control(n) end
start_entry(1)
expect(table_version("routes") == 331, "P10", "the version was reverted")
expect(admin_result("GET", "/v1/tables/routes"):match("/330"), "P10", "the table was reverted")
wait_until(5000, "P10", "the configuration is not in force after the restart",
    configuration_in_force)
print_line("331 versions, none lost or reverted")
