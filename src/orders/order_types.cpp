#include "orders/order_types.hpp"

#include "common/digest.hpp"

namespace tarragonquay::orders
{

std::string order_row_key(
    const workspace_id& workspace, const std::string& idempotency_key)
{
    return "orders/" + workspace.str() + "/" + sha256_hex(idempotency_key);
}

} // namespace tarragonquay::orders
