#pragma once

#include "field_reader.hpp"

namespace fescueridge::detail
{

void append_fields(json& out, const forward_message& m);
void append_fields(json& out, const forward_reply_message& m);
void append_fields(json& out, const forward_cancel_message& m);
void append_fields(json& out, const forward_recall_message& m);
void append_fields(json& out, const node_report_message& m);
void append_fields(json& out, const config_pull_message& m);
void append_fields(json& out, const config_push_message& m);
void append_fields(json& out, const known_nodes_message& m);
void append_fields(json& out, const suspect_message& m);
void append_fields(json& out, const own_server_message& m);
void append_fields(json& out, const quota_ask_message& m);
void append_fields(json& out, const quota_grant_message& m);
void append_fields(json& out, const departed_start_message& m);

forward_message read_forward(field_reader& in);
forward_reply_message read_forward_reply(field_reader& in);
forward_cancel_message read_forward_cancel(field_reader& in);
forward_recall_message read_forward_recall(field_reader& in);
node_report_message read_node_report(field_reader& in);
config_pull_message read_config_pull(field_reader& in);
config_push_message read_config_push(field_reader& in);
known_nodes_message read_known_nodes(field_reader& in);
suspect_message read_suspect(field_reader& in);
own_server_message read_own_server(field_reader& in);
quota_ask_message read_quota_ask(field_reader& in);
quota_grant_message read_quota_grant(field_reader& in);
departed_start_message read_departed_start(field_reader& in);

} // namespace fescueridge::detail
