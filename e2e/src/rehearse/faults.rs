//! Injects the timed faults of a script.

use super::{Error, Rehearsal};
use crate::fleet::{Fleet, INVENTORY_FILE, RunningGateway, settings_text};
use crate::script::{FaultKind, TimedFault};
use petrelshore_emulator::record::Event;

/// Injects a fault, first into servers, then into the inventory, then into gateways.
pub(super) async fn inject(
    fleet: &mut Fleet,
    rehearsal: &Rehearsal,
    fault: &TimedFault,
) -> Result<(), Error> {
    let members = fleet.members.iter().map(|member| member.name.clone());
    let servers: Vec<String> = members.filter(|name| fault.matches_server(name)).collect();
    for server in &servers {
        inject_into_server(fleet, fault, server).await?;
    }
    if matches!(fault.kind, FaultKind::Drain | FaultKind::Undrain | FaultKind::Unlist) {
        publish_inventory(fleet, rehearsal, fault, &servers)?;
    }
    if fault.kind == FaultKind::LoseInventory {
        std::fs::remove_file(rehearsal.folder.join(INVENTORY_FILE))?;
    }
    for number in fault.gateways.iter().map(|number| (*number as usize).saturating_sub(1)) {
        inject_into_gateway(rehearsal, fault.kind, number).await?;
    }
    Ok(())
}

async fn inject_into_server(fleet: &mut Fleet, fault: &TimedFault, name: &str) -> Result<(), Error> {
    if let Some(server) = fleet.server(name) {
        if let Some(server_fault) = fault.server_fault() {
            server.set_fault(server_fault);
        }
        if fault.kind == FaultKind::Forget {
            server.clear_prefix_cache();
        }
    }
    match fault.kind {
        FaultKind::Kill => fleet.kill(name),
        FaultKind::Restart => fleet.restart(name).await?,
        FaultKind::Drain | FaultKind::Undrain | FaultKind::Unlist => {
            if let Some(member) = fleet.member(name) {
                member.draining = fault.kind == FaultKind::Drain;
                member.listed = fault.kind != FaultKind::Unlist;
            }
        }
        _ => {}
    }
    Ok(())
}

/// Writes the inventory, makes all gateways reload it, and records the notifications for the auditor.
fn publish_inventory(
    fleet: &Fleet,
    rehearsal: &Rehearsal,
    fault: &TimedFault,
    servers: &[String],
) -> Result<(), Error> {
    fleet.write_inventory()?;
    let open = fault.kind == FaultKind::Undrain;
    for running in rehearsal.gateways.borrow().iter().flatten() {
        running.gateway.reload().map_err(|error| Error::Reload(error.to_string()))?;
        for server in servers {
            let (gateway, server) = (running.name.clone(), server.clone());
            rehearsal.record.write(Event::GatewayNotified { gateway, server, open });
        }
    }
    Ok(())
}

async fn inject_into_gateway(rehearsal: &Rehearsal, kind: FaultKind, number: usize) -> Result<(), Error> {
    let Some(name) = rehearsal.names.get(number) else { return Ok(()) };
    match kind {
        FaultKind::KillGateway => {
            let gateway = rehearsal.gateways.borrow_mut()[number].take();
            if let Some(gateway) = gateway {
                gateway.kill(&rehearsal.record).await;
            }
        }
        FaultKind::StartGateway => {
            let addresses = rehearsal.addresses[number];
            let extra_settings =
                format!("listen.grpc = \"{}\", {}", addresses.grpc, rehearsal.extra_settings);
            let settings =
                settings_text(name, rehearsal.names.len(), &addresses.chat.to_string(), &extra_settings);
            let (executor, folder) = (&rehearsal.executor, &rehearsal.folder);
            let gateway =
                RunningGateway::start_with(executor, folder, &settings, rehearsal.policy_kind).await?;
            rehearsal.gateways.borrow_mut()[number] = Some(gateway);
            rehearsal.record.write(Event::GatewayRestarted { gateway: name.clone() });
        }
        _ => {}
    }
    Ok(())
}
