#pragma once

#include <string>
#include <vector>

#include "operator.pb.h"

namespace tarragonquay::ctl
{

/// Text table with aligned columns.
class text_table
{
public:
    explicit text_table(std::vector<std::string> header);

    void add(std::vector<std::string> cells);
    std::string to_string() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// Converts a message to JSON with the field names of the schema.
std::string to_json(const google::protobuf::Message& message);

text_table workspaces_table(const config::Snapshot& snapshot);
text_table keys_table(const config::Snapshot& snapshot);
text_table models_table(const config::Snapshot& snapshot);
text_table adapters_table(const config::Snapshot& snapshot);
text_table services_table(const config::Snapshot& snapshot);
text_table endpoints_table(const config::Snapshot& snapshot);

/// All tables of the configuration.
std::string describe(const config::Snapshot& snapshot);
std::string describe(const operators::Status_reply& status);
std::string describe(const operators::Timeline_reply& timeline);
/// Omits the response body, which is data of the caller.
std::string describe(const records::Order_record& order, std::int64_t version);

} // namespace tarragonquay::ctl
