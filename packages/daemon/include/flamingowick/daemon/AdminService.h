#pragma once

#include "flamingowick/daemon/ConfigurationService.h"
#include "flamingowick/daemon/CoreContext.h"
#include "flamingowick/daemon/DispatchService.h"
#include "flamingowick/daemon/KeyService.h"

// The administration API of one daemon: liveness, readiness and metrics for machines, status,
// documents and explanations for operators.
namespace flamingowick::daemon {

// What the API reads. All of it must outlive the service.
struct AdminView {
    CoreContext& context;
    const ConfigurationService& configuration;
    const DispatchService& dispatch;
    const KeyService& keys;
};

class AdminService {
public:
    explicit AdminService(AdminView);

    // Answers one request. All paths but /healthz, /readyz and /metrics need the bearer token of the
    // settings. ready tells whether the balancer may send traffic here.
    void receive(const gateway::HttpRequest&, bool ready, TimePoint now);

private:
    gateway::HttpResponse answer(const gateway::HttpRequest&, bool ready, TimePoint now);
    gateway::HttpResponse answerOperator(std::string_view path, std::string_view query, bool ready, TimePoint now);
    gateway::HttpResponse status(bool ready) const;
    gateway::HttpResponse document(std::string_view service) const;
    gateway::HttpResponse explain(std::string_view query, TimePoint now) const;
    gateway::HttpResponse metrics();
    bool isAuthorized(const gateway::HttpRequest&) const;

    AdminView view;
};

}
