//! The table of connections, which each read and write looks up.

use super::{ConnectionId, connection::Connection};

/// Connections by the number of their place and of their turn there.
#[derive(Debug, Default)]
pub struct Table {
    places: Vec<Place>,
    /// Places without a connection.
    free: Vec<u32>,
}

#[derive(Debug, Default)]
struct Place {
    /// Number of connections that the place has had.
    turn: u32,
    connection: Option<Connection>,
}

/// Returns the place and the turn of a connection.
fn split(id: ConnectionId) -> (usize, u32) {
    (id.0 as u32 as usize, (id.0 >> 32) as u32)
}

fn join(place: usize, turn: u32) -> ConnectionId {
    ConnectionId(u64::from(turn) << 32 | place as u64)
}

impl Table {
    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.places.len() - self.free.len()
    }

    pub fn insert(&mut self, connection: Connection) -> ConnectionId {
        let place = match self.free.pop() {
            Some(place) => place as usize,
            None => {
                self.places.push(Place::default());
                self.places.len() - 1
            }
        };
        let slot = &mut self.places[place];
        slot.turn = slot.turn.wrapping_add(1);
        slot.connection = Some(connection);
        join(place, slot.turn)
    }

    pub fn get(&self, id: &ConnectionId) -> Option<&Connection> {
        let (place, turn) = split(*id);
        self.places.get(place).filter(|it| it.turn == turn)?.connection.as_ref()
    }

    pub fn get_mut(&mut self, id: &ConnectionId) -> Option<&mut Connection> {
        let (place, turn) = split(*id);
        self.places.get_mut(place).filter(|it| it.turn == turn)?.connection.as_mut()
    }

    pub fn remove(&mut self, id: &ConnectionId) -> Option<Connection> {
        let (place, turn) = split(*id);
        let slot = self.places.get_mut(place).filter(|it| it.turn == turn)?;
        let connection = slot.connection.take()?;
        self.free.push(place as u32);
        Some(connection)
    }

    /// Returns all connections.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionId, &Connection)> {
        let used = self.places.iter().enumerate();
        used.filter_map(|(place, it)| Some((join(place, it.turn), it.connection.as_ref()?)))
    }
}
