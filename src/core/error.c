#include "core/error.h"

GQuark settings_error_quark(void)
{
	return g_quark_from_static_string("settings-error");
}

GQuark platform_error_quark(void)
{
	return g_quark_from_static_string("platform-error");
}

GQuark peer_error_quark(void)
{
	return g_quark_from_static_string("peer-error");
}

GQuark duty_error_quark(void)
{
	return g_quark_from_static_string("duty-error");
}
