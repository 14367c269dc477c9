package org.medlarhook.harness

import org.medlarhook.runtime.settings.EntrySettings

/** An entry process of a test fleet, with its settings. */
public class EntryNode(
    public val settings: EntrySettings,
    public val process: ManagedProcess,
) {
    /** Base URL of the HTTP server for callers. */
    public val url: String = "http://${settings.callers.host}:${settings.callers.port}"

    /** Base URL of the HTTP server for operators. */
    public val operatorsUrl: String = "http://${settings.operators.host}:${settings.operators.port}"

    /** Waits until the entry reports that it is ready for requests. */
    public fun awaitReady(): Unit = Readiness.await("$operatorsUrl/readyz")
}
