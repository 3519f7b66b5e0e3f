#pragma once

#include <vector>

#include "catalog/types.hpp"
#include "config.pb.h"

// Conversion between value types and protobuf messages; internal to the
// catalog.
namespace tarragonquay::catalog::conversion
{

workspace from_proto(const config::Workspace& message);
api_key from_proto(const config::Api_key& message);
model from_proto(const config::Model& message);
adapter from_proto(const config::Adapter& message);
service from_proto(const config::Service& message);
endpoint from_proto(const config::Endpoint& message);
std::vector<member> from_proto(
    const google::protobuf::RepeatedPtrField<config::Member>& messages);

void to_proto(const workspace& value, config::Workspace& message);
void to_proto(const api_key& value, config::Api_key& message);
void to_proto(const model& value, config::Model& message);
void to_proto(const adapter& value, config::Adapter& message);
void to_proto(const service& value, config::Service& message);
void to_proto(const endpoint& value, config::Endpoint& message);
void to_proto(const member& value, config::Member& message);

} // namespace tarragonquay::catalog::conversion
