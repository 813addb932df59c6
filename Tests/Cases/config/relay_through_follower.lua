-- L1: an entry that cannot reach the leader itself keeps its lease through another replica.
system{entries = 1, workers = 3, routes = basic_routes}
local n = leader()
link("entry-1>control-" .. n, "silent")
sleep(3500)
expect(leader() == n, "L1", "the leader changed")
for _ = 1, 5 do
    local status = http(caller_port(1), "GET", "/price")
    expect(status == 200, "L1", "a price check got " .. tostring(status))
    sleep(300)
end
say("the entry served through a follower")
