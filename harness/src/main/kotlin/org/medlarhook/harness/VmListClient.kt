package org.medlarhook.harness

import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.medlarhook.ports.ListedVm

/** HTTP client that changes the VM list of the platform stand-in at [platformUrl]. */
public class VmListClient(
    private val platformUrl: String,
) {
    private val client = OkHttpClient()

    /** Adds or replaces a VM, for example to mark it as leaving. */
    public fun put(vm: ListedVm) {
        val body = Json.encodeToString(ListedVm.serializer(), vm).toRequestBody()
        send(Request.Builder().url("$platformUrl/vms").put(body).build())
    }

    /** Removes a VM from the list. */
    public fun remove(vmId: String) {
        send(Request.Builder().url("$platformUrl/vms/$vmId").delete().build())
    }

    private fun send(request: Request) {
        client.newCall(request).execute().use { check(it.isSuccessful) { "VM list unchanged, HTTP status ${it.code}" } }
    }
}
