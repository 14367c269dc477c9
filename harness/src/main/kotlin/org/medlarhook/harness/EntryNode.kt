package org.medlarhook.harness

import org.medlarhook.runtime.settings.EntrySettings

/** An entry process with its settings. */
public class EntryNode(
    public val settings: EntrySettings,
    public val process: ManagedProcess,
) {
    /** The address for callers. */
    public val url: String = "http://${settings.callers.host}:${settings.callers.port}"

    /** The address for operators. */
    public val operatorsUrl: String = "http://${settings.operators.host}:${settings.operators.port}"

    /** Waits until the entry is ready for requests. */
    public fun awaitReady(): Unit = Readiness.await("$operatorsUrl/readyz")
}
