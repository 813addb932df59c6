-- L1: an entry whose link to the leader is blocked must keep its lease through a follower, and go
-- on serving without a change of leader.
start_system{entries = 1, workers = 3, routes = basic_routes}
local n = leader()
set_link_mode("entry-1>control-" .. n, "silent")
sleep(3500)
expect(leader() == n, "L1", "the leader changed")
for _ = 1, 5 do
    local status = http_request(caller_port(1), "GET", "/price")
    expect(status == 200, "L1", "GET /price got " .. tostring(status))
    sleep(300)
end
print_line("the entry served through a follower")
