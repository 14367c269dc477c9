package org.medlarhook.harness

import org.medlarhook.runtime.settings.SidecarSettings

/** An upstream of a test fleet: the process of its engine or service ([backend]) and its [sidecar] process. */
public class UpstreamNode(
    public val settings: SidecarSettings,
    public val sidecar: ManagedProcess,
    public val backend: ManagedProcess,
    public val backendUrl: String,
) {
    /** Base URL of the sidecar's HTTP server for operators. */
    public val operatorsUrl: String = "http://${settings.operators.host}:${settings.operators.port}"

    /** Waits until the sidecar reports that it is ready for attempts. */
    public fun awaitReady(): Unit = Readiness.await("$operatorsUrl/readyz")
}
