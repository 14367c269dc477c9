package org.medlarhook.harness

import org.medlarhook.runtime.settings.SidecarSettings

/** An upstream: its engine or service [backend] and the [sidecar] beside it. */
public class UpstreamNode(
    public val settings: SidecarSettings,
    public val sidecar: ManagedProcess,
    public val backend: ManagedProcess,
    public val backendUrl: String,
) {
    /** The sidecar's address for operators. */
    public val operatorsUrl: String = "http://${settings.operators.host}:${settings.operators.port}"

    /** Waits until the sidecar is ready for attempts. */
    public fun awaitReady(): Unit = Readiness.await("$operatorsUrl/readyz")
}
