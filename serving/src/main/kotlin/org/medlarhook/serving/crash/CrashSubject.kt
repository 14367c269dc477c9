package org.medlarhook.serving.crash

import org.medlarhook.core.serving.crash.Suspect
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.serving.call.CallerCall

/** What the crash of an upstream may be put down to if it happens while the upstream runs [call]. */
internal class CrashSubject(
    call: CallerCall,
    demand: Demand,
) {
    /** All parts but the last, which belongs to one request or session and can't crash others. */
    val parts: List<Suspect.Part> =
        demand.generation?.parts.orEmpty().dropLast(1).map { it.id }
            .filter { it.length <= CrashReport.MAX_ID }
            .distinct()
            .map { Suspect.Part(it) }

    /** The whole request. Its first use reads the body. */
    val request: Suspect.Request by lazy { Suspect.Request(RequestFingerprint.of(call, demand.workspace)) }

    /** The whole request and its parts. */
    val all: List<Suspect> get() = listOf(request) + parts

    /** True from the moment on at which the request may be sent although a part of it or itself is suspected. */
    var isProbe = false

    /** Reads the body, for a subject that is used after it was released. */
    fun readBody() {
        request
    }
}
