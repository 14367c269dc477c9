package org.medlarhook.cli.config

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import org.medlarhook.core.directory.ModelDeclaration
import org.medlarhook.core.directory.ServiceDeclaration
import org.medlarhook.core.directory.Workspace

/**
 * The base file of a configuration.
 *
 * @property siteDefaults what all sites share; the overlay of a site is a JSON merge patch on top of it.
 */
@Serializable
internal data class ConfigBase(
    val workspaces: List<Workspace> = emptyList(),
    val models: List<ModelDeclaration> = emptyList(),
    val services: List<ServiceDeclaration> = emptyList(),
    val siteDefaults: JsonObject = JsonObject(emptyMap()),
)
