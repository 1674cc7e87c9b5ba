//! The route of a request from its home to a server.

use carawayrill_core::id::RouterId;
use carawayrill_core::id::ServerId;
use carawayrill_core::ownership::home::Permit;
use carawayrill_core::token::Token;

use crate::message::OnBehalf;

/// The authority under which a request is sent.
#[derive(Debug, Clone)]
pub enum Route {
    /// This router is the home of the request's shard.
    Home(Permit),
    /// Another home has activated a server of this home and sends under its own token.
    OnBehalf(OnBehalf),
}

impl Route {
    /// Returns the server that the request is sent to.
    #[must_use]
    pub fn server(&self) -> &ServerId {
        match self {
            Self::Home(permit) => &permit.server,
            Self::OnBehalf(on_behalf) => &on_behalf.server,
        }
    }

    /// Returns the token that the request is sent under.
    #[must_use]
    pub fn token(&self) -> Token {
        match self {
            Self::Home(permit) => permit.token,
            Self::OnBehalf(on_behalf) => on_behalf.token,
        }
    }

    /// Returns the router through which the request has to be sent, if it is another one.
    #[must_use]
    pub fn via(&self) -> Option<&RouterId> {
        match self {
            Self::Home(permit) => permit.via.as_ref(),
            Self::OnBehalf(_) => None,
        }
    }
}
