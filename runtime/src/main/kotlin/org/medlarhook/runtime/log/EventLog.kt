package org.medlarhook.runtime.log

import io.github.oshai.kotlinlogging.KLogger

/** Logs [event] at info level with [fields], which must not contain secrets. */
public fun KLogger.event(event: LogEvent, vararg fields: Pair<String, Any?>): Unit = event(event, fields.toMap())

/** Logs [event] at info level with [fields], which must not contain secrets. */
public fun KLogger.event(event: LogEvent, fields: Map<String, Any?>) {
    atInfo {
        message = event.message
        payload = buildPayload(event, fields)
    }
}

/** Logs [event] at warning level with [fields], which must not contain secrets. */
public fun KLogger.warnEvent(event: LogEvent, vararg fields: Pair<String, Any?>): Unit =
    warnEvent(event, fields.toMap())

/** Logs [event] at warning level with [fields], which must not contain secrets. */
public fun KLogger.warnEvent(event: LogEvent, fields: Map<String, Any?>) {
    atWarn {
        message = event.message
        payload = buildPayload(event, fields)
    }
}

private fun buildPayload(event: LogEvent, fields: Map<String, Any?>): Map<String, Any?> =
    buildMap {
        put("event", event.number)
        putAll(fields)
    }
