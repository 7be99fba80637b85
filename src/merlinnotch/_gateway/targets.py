"""Choice of the service and the model of a call."""


def choose_target(call, chooser, cascade):
    """Set the service of *call* by *chooser* and its model by *cascade*."""
    call.service = chooser.choose_service(call)
    choose_model(call, cascade)


def choose_model(call, cascade):
    """Set the model that *call* begins with, by its caller or by its route."""
    call.model = call.headers.model
    if call.route.models and call.model is None:
        call.model = cascade.choose_first(call.route)


def has_service(route, service):
    """Return whether *route* sends requests to *service*."""
    return any(s.service == service and s.weight > 0.0 for s in route.splits)
