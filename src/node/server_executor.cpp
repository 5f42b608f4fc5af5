#include "fescueridge/node/server_executor.hpp"

#include "executor_core.hpp"

namespace fescueridge
{

server_executor::server_executor(executor_dependencies dependencies)
    : core_(std::make_shared<detail::executor_core>(std::move(dependencies)))
{
}

server_executor::~server_executor() = default;

void server_executor::execute(call_message call, reply_callback done)
{
    core_->execute(std::move(call), std::move(done));
}

void server_executor::cancel(const call_id& id)
{
    core_->cancel(id);
}

void server_executor::announce(const server_announcement& server)
{
    core_->announce(server);
}

void server_executor::drain()
{
    core_->drain();
}

void server_executor::refuse_waiting()
{
    core_->refuse_waiting();
}

void server_executor::remove_server()
{
    core_->remove_server();
}

void server_executor::set_claim_client(std::shared_ptr<claim_client> client)
{
    core_->set_claim_client(std::move(client));
}

void server_executor::update_level()
{
    core_->update_level();
}

std::optional<admission_level> server_executor::level() const
{
    return core_->level();
}

executor_load server_executor::load() const
{
    return core_->load();
}

std::size_t server_executor::in_flight() const
{
    return core_->in_flight();
}

} // namespace fescueridge
