#include "Fleet/customer.h"

#include <algorithm>
#include <cstring>

#include <openssl/sha.h>

namespace mango {

customer_id customerId(const std::string &name)
{
    if (name.empty()) {
        return 0;
    }
    const std::string digest = digestOfKey(name);
    customer_id id = 0;
    std::memcpy(&id, digest.data(), sizeof(id));
    return std::max<customer_id>(id, 1);
}

std::string digestOfKey(std::string_view key)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(),
           reinterpret_cast<unsigned char *>(digest.data()));
    return digest;
}

} // namespace mango
