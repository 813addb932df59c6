-- P10: equal versions, a resend after a lost answer, hundreds of changes, then a restart of
-- everything; nothing accepted is lost or goes back.
system{entries = 1, workers = 0, snapshot_entries = 100}
put_table("pools", "[desk]\nworkers = w*\n")
local function routes(n) return "[r]\npath = /" .. n .. "\npool = desk\n" end
expect(try_put("routes", routes(0), 0, "a") == 200, "P10", "the first change was refused")
expect(try_put("routes", routes(1), 0, "b") == 409, "P10", "an equal version was accepted")
expect(try_put("routes", routes(0), 0, "a") == 200, "P10", "a resend lost its verdict")
expect(try_put("routes", routes(2), 0, "a") == 409, "P10", "a change id was reused")
expect(try_put("routes", "[r]\npath = /\n", 1, "bad") == 422, "P10", "a bad table was accepted")
for n = 1, 330 do
    expect(try_put("routes", routes(n), n, "n" .. n) == 200, "P10", "change " .. n .. " refused")
    if n == 150 then
        local old = leader()
        signal("control-" .. old, "KILL")
        wait("control-" .. old, 1000)
        leader()
        start_control(old)
        expect(try_put("routes", routes(n), n, "n" .. n) == 200, "P10", "a resend was refused")
    end
end
await(3000, "P10", "not in force in 3 s", in_force)
for n = 1, 3 do signal("control-" .. n, "KILL") wait("control-" .. n, 1000) end
signal("entry-1", "KILL")
wait("entry-1", 1000)
for n = 1, 3 do start_control(n) end
start_entry(1)
expect(table_version("routes") == 331, "P10", "the version went back")
expect(admin_ok("GET", "/v1/tables/routes"):match("/330"), "P10", "the table went back")
await(5000, "P10", "not in force after the restart", in_force)
say("331 versions, none lost or reverted")
