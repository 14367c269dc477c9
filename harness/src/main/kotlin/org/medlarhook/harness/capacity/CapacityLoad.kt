package org.medlarhook.harness.capacity

import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.medlarhook.core.directory.DirectoryEntity
import org.medlarhook.core.directory.ServiceDeclaration
import org.medlarhook.core.directory.ServiceRoute
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.key.KeyIssuer
import org.medlarhook.runtime.operators.api.ChangeAnswer
import org.medlarhook.runtime.operators.api.ChangeRequest
import java.util.UUID

/** Changes the configuration of a test fleet through an entry's HTTP server for operators at [operatorsUrl]. */
internal class CapacityLoad(
    private val operatorsUrl: String,
) {
    private val client = OkHttpClient()
    private val issuer = KeyIssuer()
    private var version = 0L

    /** Declares the service and creates [count] workspaces, each with a key. */
    fun seed(count: Int) {
        val routes = listOf(ServiceRoute("/", open = true, idempotent = true))
        change(listOf(ServiceDeclaration(CapacityDimension.SERVICE, routes)))
        for (numbers in (1..count).chunked(WORKSPACES_PER_CHANGE)) {
            val workspaces = numbers.map { Workspace("workspace-$it") }
            change(workspaces + workspaces.map { issuer.issue(it.name).grant })
        }
    }

    /** Changes the weight of one workspace; consecutive values of [number] give different weights. */
    fun changeOne(number: Int) {
        change(listOf(Workspace("workspace-1", weight = 1 + number % MAX_WEIGHT)))
    }

    private fun change(puts: List<DirectoryEntity>) {
        val request = ChangeRequest(version, "capacity", puts = puts, nonce = UUID.randomUUID().toString())
        val body = Json.encodeToString(
            ChangeRequest.serializer(),
            request,
        ).toRequestBody("application/json".toMediaType())
        val call = Request.Builder().url("$operatorsUrl/operators/config/changes").post(body).build()
        var text = send(call)
        while (text == null) {
            Thread.sleep(RETRY_INTERVAL_MS)
            text = send(call)
        }
        version = Json.decodeFromString(ChangeAnswer.serializer(), text).version
    }

    /** Returns the response body, or null if the entry answers 503 because it can't write yet. */
    private fun send(call: Request): String? =
        client.newCall(call).execute().use { response ->
            val text = response.body.string()
            check(response.isSuccessful || response.code == HTTP_UNAVAILABLE) { "configuration change refused: $text" }
            text.takeIf { response.isSuccessful }
        }

    private companion object {
        const val WORKSPACES_PER_CHANGE = 250
        const val MAX_WEIGHT = 9
        const val HTTP_UNAVAILABLE = 503
        const val RETRY_INTERVAL_MS = 200L
    }
}
